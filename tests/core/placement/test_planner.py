"""Placement plans: few changes, spread over zones, no loss of capacity."""

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


def _configuration(
    replicas, *, versions_per_engine=2, concurrent_loads=1, versions_out=()
):
    versions = tuple(
        Version(name=name, cost_per_1k_tokens=1.0, replicas=count)
        for name, count in replicas.items()
    )
    return Configuration(
        models=(Model(name="m", versions=versions),),
        marks=OutOfServiceMarks(versions_out=versions_out),
        placement=PlacementRules(
            versions_per_engine=versions_per_engine, concurrent_loads=concurrent_loads
        ),
    )


def _engines(*loaded):
    return [
        Engine(vm_id=f"e{index}", zone=_ZONES[index % 3], loaded=frozenset(versions))
        for index, versions in enumerate(loaded)
    ]


def _load_all(engines, planned):
    return [
        attrs.evolve(engine, loaded=frozenset(planned[engine.vm_id]))
        for engine in engines
    ]


def _plan_until_stable(configuration, engines):
    """Plan and load until nothing changes; return the engines of each step."""
    steps, current = [engines], {}
    for _ in range(60):
        current = plan_versions(configuration, engines, current)
        loaded = _load_all(engines, current)
        if loaded == engines:
            return steps
        engines = loaded
        steps.append(engines)
    raise AssertionError("placement still changes after 60 plans")


def _engines_with(engines, version):
    return [engine for engine in engines if version in engine.loaded]


def test_replicas_spread_over_zones():
    """Three replicas are placed in three zones."""
    steps = _plan_until_stable(_configuration({"v1": 3}), _engines(*[()] * 9))
    assert {engine.zone for engine in _engines_with(steps[-1], "m/v1")} == set(_ZONES)


def test_complete_placement_is_not_changed():
    """Engines that have all wanted replicas loaded keep them."""
    engines = _engines({"m/v1"}, {"m/v2"}, {"m/v1"})
    assert len(_plan_until_stable(_configuration({"v1": 2, "v2": 1}), engines)) == 1


@pytest.mark.parametrize("concurrent_loads", [1, 2, 3])
def test_concurrent_loads_are_limited(concurrent_loads):
    """No more versions are loaded at once than ``concurrent_loads``."""
    engines = _engines(*[()] * 6)
    planned = plan_versions(
        _configuration({"v1": 5}, concurrent_loads=concurrent_loads), engines, {}
    )
    loads_planned = sum(len(versions) for versions in planned.values())
    assert loads_planned == concurrent_loads
    # No further loads are planned until engines report these.
    assert (
        plan_versions(
            _configuration({"v1": 5}, concurrent_loads=concurrent_loads),
            engines,
            planned,
        )
        == planned
    )


def test_version_out_of_service_is_dropped():
    """A full engine drops a version that is out of service for another."""
    configuration = _configuration(
        {"v1": 2, "v2": 1}, versions_per_engine=1, versions_out=("m/v1",)
    )
    steps = _plan_until_stable(configuration, _engines({"m/v1"}, {"m/v1"}))
    assert len(_engines_with(steps[-1], "m/v2")) == 1


def test_last_replica_is_not_dropped():
    """The only replica of a version in service is not dropped for another."""
    configuration = _configuration({"v1": 0, "v2": 1}, versions_per_engine=1)
    steps = _plan_until_stable(configuration, _engines({"m/v1"}))
    assert len(_engines_with(steps[-1], "m/v1")) == 1


@given(
    replicas=st.dictionaries(
        st.sampled_from(["v1", "v2", "v3"]), st.integers(0, 3), min_size=1
    ),
    loaded=st.lists(
        st.sets(st.sampled_from(["m/v1", "m/v2", "m/v3"]), max_size=2),
        min_size=2,
        max_size=7,
    ),
    concurrent_loads=st.integers(1, 3),
)
def test_no_version_in_service_loses_its_capacity(replicas, loaded, concurrent_loads):
    """Every version loaded at the start remains loaded on some engine."""
    configuration = _configuration(replicas, concurrent_loads=concurrent_loads)
    steps = _plan_until_stable(configuration, _engines(*loaded))
    for version in {version for versions in loaded for version in versions}:
        for engines in steps:
            assert _engines_with(engines, version)
    for engine in steps[-1]:
        assert len(engine.loaded) <= 2
