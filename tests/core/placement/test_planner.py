"""The planner moves little, spreads over zones and leaves no gap."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.configuration.models import (
    Configuration,
    Model,
    OutOfServiceMarks,
    PlacementRules,
    Version,
)
from cardamomnotch_core.placement.models import Engine
from cardamomnotch_core.placement.planner import plan_versions

_ZONES = ("zone-a", "zone-b", "zone-c")


def _lists(replicas, *, slots=2, loads=1, out=()):
    versions = tuple(
        Version(name=name, cost_per_1k_tokens=1.0, replicas=count)
        for name, count in replicas.items()
    )
    return Configuration(
        models=(Model(name="m", versions=versions),),
        marks=OutOfServiceMarks(versions_out=out),
        placement=PlacementRules(versions_per_engine=slots, concurrent_loads=loads),
    )


def _engines(*loaded):
    return [
        Engine(vm_id=f"e{index}", zone=_ZONES[index % 3], loaded=frozenset(held))
        for index, held in enumerate(loaded)
    ]


def _load_all(engines, planned):
    return [
        attrs.evolve(engine, loaded=frozenset(planned[engine.vm_id]))
        for engine in engines
    ]


def _settle(lists, engines):
    """Plan and load until nothing changes; return every state on the way."""
    states, current = [engines], {}
    for _ in range(60):
        current = plan_versions(lists, engines, current)
        loaded = _load_all(engines, current)
        if loaded == engines:
            return states
        engines = loaded
        states.append(engines)
    raise AssertionError("the placement does not settle")


def _holders(engines, version):
    return [engine for engine in engines if version in engine.loaded]


def test_replicas_spread_over_zones():
    """Three replicas stand in three zones."""
    states = _settle(_lists({"v1": 3}), _engines(*[()] * 9))
    assert {one.zone for one in _holders(states[-1], "m/v1")} == set(_ZONES)


def test_settled_placement_stays():
    """What is as wanted already is not moved."""
    engines = _engines({"m/v1"}, {"m/v2"}, {"m/v1"})
    assert len(_settle(_lists({"v1": 2, "v2": 1}), engines)) == 1


@pytest.mark.parametrize("loads", [1, 2, 3])
def test_loads_are_spread_for_the_weight_store(loads):
    """No more engines load at once than the rules say."""
    engines = _engines(*[()] * 6)
    planned = plan_versions(_lists({"v1": 5}, loads=loads), engines, {})
    asked = sum(len(versions) for versions in planned.values())
    assert asked == loads
    # Until those are read back, nothing more is asked.
    assert plan_versions(_lists({"v1": 5}, loads=loads), engines, planned) == planned


def test_withdrawn_version_makes_room():
    """A full engine drops what operators have taken out of service."""
    lists = _lists({"v1": 2, "v2": 1}, slots=1, out=("m/v1",))
    states = _settle(lists, _engines({"m/v1"}, {"m/v1"}))
    assert len(_holders(states[-1], "m/v2")) == 1


def test_last_replica_stays():
    """The only replica of a version in service is not dropped for another."""
    lists = _lists({"v1": 0, "v2": 1}, slots=1)
    states = _settle(lists, _engines({"m/v1"}))
    assert len(_holders(states[-1], "m/v1")) == 1


@given(
    replicas=st.dictionaries(
        st.sampled_from(["v1", "v2", "v3"]), st.integers(0, 3), min_size=1
    ),
    loaded=st.lists(
        st.sets(st.sampled_from(["m/v1", "m/v2", "m/v3"]), max_size=2),
        min_size=2,
        max_size=7,
    ),
    loads=st.integers(1, 3),
)
def test_no_version_in_service_loses_its_capacity(replicas, loaded, loads):
    """What was loaded somewhere stays loaded somewhere, at every step."""
    lists = _lists(replicas, loads=loads)
    states = _settle(lists, _engines(*loaded))
    for version in {one for held in loaded for one in held}:
        for engines in states:
            assert _holders(engines, version)
    for engine in states[-1]:
        assert len(engine.loaded) <= 2
