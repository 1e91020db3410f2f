"""Plays a load on the decisions of real entry nodes, on simulated time."""

import bisect
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from ..relay.const import CONNECT_TIMEOUT_S
from ..relay.crashes.detection import AttemptEnd
from ..relay.exceptions import RefusalError
from ..relay.limits import RelayLimits
from ..relay.model_choice.models import Answer, ChoiceRequest
from ..relay.models import (
    PromptPart,
    RepeatRule,
    RequestFacts,
    Route,
    RouteDocument,
    Service,
    Share,
    Upstream,
)
from ..relay.node import RelayIdentity, RelayNode
from ..relay.placement.placer import Placement
from ..relay.store_changes import changes
from .const import (
    BYTES_PER_TOKEN,
    CONFIDENT,
    DECODING_S,
    FIRST_STEP_S,
    MAX_ATTEMPTS,
    NOTICE_DELAY_S,
    RATING_RELIABILITY,
    UNSURE,
)
from .engines import Engine, EnginePrompt
from .models import LoadCase, Loss, ModelSpec, Outcome, RequestClass

_SERVICE = Service(name="service")
_PLAIN = ModelSpec(name="", prefill_ms_per_token=1e-9)


@attrs.define(eq=False)
class _Request:
    """A request on its way through one entry."""

    node: RelayNode
    request_class: RequestClass
    route: Route
    facts: RequestFacts
    outcome: Outcome
    # A model answers it well if its quality is above this.
    hardness: float
    model: str = ""
    attempts: int = 0
    tried: frozenset[str] = frozenset()

    @property
    def choice(self) -> ChoiceRequest:
        return ChoiceRequest(route=self.route, service=_SERVICE, facts=self.facts)

    @property
    def body_bytes(self) -> int:
        return self.facts.prompt_tokens * BYTES_PER_TOKEN


class LoadSimulation:
    """Runs the requests of a load at random entries.

    Each entry has a view of its own: what others tell it arrives later. Losses, and
    the rate and classes of ``case``, may be replaced between two runs.
    """

    def __init__(self, case: LoadCase) -> None:
        self.case = case
        self._random = random.Random(case.seed)
        # Of its own, so that the same requests arrive whatever the decisions are.
        self._ratings = random.Random(f"{case.seed} ratings")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.now_s = 0.0
        self.losses: Sequence[Loss] = case.losses
        self.outcomes: list[Outcome] = []
        self._models = {model.name: model for model in case.models} | {"": _PLAIN}
        self._routes = {item.name: _create_route(item) for item in case.classes}
        self.upstreams = [
            _create_upstream(number, case.zones) for number in range(case.upstreams)
        ]
        self._engines = {
            item.upstream_id: Engine(case.upstream_tokens) for item in self.upstreams
        }
        # How often each upstream has read a shared part, by model and part.
        self.reads: dict[tuple[str, str], Counter[str]] = {}
        self._subject_weights = {
            item.name: list(itertools.accumulate(_subject_weights(item)))
            for item in case.classes
        }
        self.nodes = [
            self._create_node(f"entry-{number}", f"zone-{number % case.zones}")
            for number in range(case.entries)
        ]
        records = [node.entry_record(0.0) for node in self.nodes]
        for node, record in itertools.product(self.nodes, records):
            node.apply(changes.EntryReported(record=record), 0.0)

    def run(self, seconds: float) -> list[Outcome]:
        """Let time pass, with requests; return what their callers got."""
        end_s, first = self.now_s + seconds, len(self.outcomes)
        gap_s = self._random.expovariate(self.case.requests_per_s)
        self._after(gap_s, lambda: self._arrive(end_s))
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = end_s
        return self.outcomes[first:]

    def finish(self) -> None:
        """Play what is under way to its end, without further requests."""
        while self._events:
            self.now_s, _, event = heapq.heappop(self._events)
            event()

    def _create_node(self, name: str, zone: str) -> RelayNode:
        identity = RelayIdentity(name=name, zone=zone, incarnation="1", address=name)
        choices = random.Random(f"{self.case.seed} {name}")
        node = RelayNode(identity, RelayLimits(), choices)
        service = attrs.evolve(_SERVICE, token_capacity=self.case.upstream_tokens)
        document = RouteDocument(
            version=1,
            routes=tuple(self._routes.values()),
            services={service.name: service},
            workspaces=None,
        )
        node.apply(changes.DocumentWritten(document=document), 0.0)
        for upstream in self.upstreams:
            node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
        return node

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        due_s = self.now_s + delay_s
        heapq.heappush(self._events, (due_s, next(self._numbers), event))

    def _arrive(self, end_s: float) -> None:
        if self.now_s > end_s:
            return
        gap_s = self._random.expovariate(self.case.requests_per_s)
        self._after(gap_s, lambda: self._arrive(end_s))
        classes = self.case.classes
        weights = [item.weight for item in classes]
        (request_class,) = self._random.choices(classes, weights)
        node = self._random.choice(self.nodes)
        outcome = Outcome(
            request_class=request_class.name,
            zone=node.identity.zone,
            arrived_at_s=self.now_s,
        )
        self.outcomes.append(outcome)
        request = _Request(
            node=node,
            request_class=request_class,
            route=self._routes[request_class.name],
            facts=self._create_facts(request_class),
            outcome=outcome,
            hardness=self._random.random(),
        )
        if request_class.models:
            request.model = node.first_model(
                request.choice, request.body_bytes, self.now_s
            ).model
        self._send(request)

    def _create_facts(self, request_class: RequestClass) -> RequestFacts:
        number = next(self._numbers)
        weights = self._subject_weights[request_class.name]
        point = self._random.random() * weights[-1]
        subject = bisect.bisect(weights, point, hi=len(weights) - 1)
        spread = self._random.uniform(-request_class.spread, request_class.spread)
        own_tokens = int(request_class.own_tokens * (1 + spread))
        parts = (
            PromptPart(
                part_id=f"{request_class.name}-{subject}",
                tokens=request_class.shared_tokens,
            ),
            PromptPart(part_id=f"own-{number}", tokens=own_tokens),
        )
        return RequestFacts(
            request_id=str(number),
            fingerprint=str(number),
            prompt=tuple(part for part in parts if part.tokens),
            prompt_tokens=sum(part.tokens for part in parts),
            max_output_tokens=request_class.output_tokens,
        )

    def _send(self, request: _Request) -> None:
        node = request.node
        if request.attempts >= MAX_ATTEMPTS:
            return
        request.attempts += 1
        try:
            placement = node.place(
                _SERVICE,
                request.facts,
                request.model,
                request.body_bytes,
                self.now_s,
                tried=request.tried,
            )
        except RefusalError:
            return
        key = next(self._numbers)
        node.attempts.record_sent(
            placement, request.facts, request.model, key, self.now_s
        )
        node.model_choice.record_wait(placement, self.now_s)
        if self._is_lost(node, placement.state.upstream):
            self._after(CONNECT_TIMEOUT_S, lambda: self._fail(request, placement, key))
        else:
            first_token_s = self._read(request, placement) + FIRST_STEP_S - self.now_s
            self._after(
                first_token_s,
                lambda: self._begin(request, placement, key, first_token_s),
            )
        self._exchange(node)

    def _is_lost(self, node: RelayNode, upstream: Upstream) -> bool:
        number = int(upstream.upstream_id.rpartition("-")[2])
        return any(
            loss.concerns(node.identity.zone, upstream.zone, number, self.now_s)
            for loss in self.losses
        )

    def _read(self, request: _Request, placement: Placement) -> float:
        upstream_id = placement.state.upstream_id
        engine, prompt = self._engines[upstream_id], _engine_prompt(request)
        if prompt.shared_tokens and not engine.holds(prompt):
            key = (prompt.model, prompt.subject)
            self.reads.setdefault(key, Counter())[upstream_id] += 1
        s_per_token = self._models[request.model].prefill_ms_per_token / 1000
        return engine.read(prompt, s_per_token, self.now_s)

    def _fail(self, request: _Request, placement: Placement, key: int) -> None:
        node, state = request.node, placement.state
        request.outcome.lost_s += CONNECT_TIMEOUT_S
        state.record_failure(self.now_s)
        node.attempts.record_ended(state, key, AttemptEnd.NEUTRAL, self.now_s)
        node.reachability.record_unreachable(state.upstream, self.now_s)
        self._exchange(node)
        request.tried |= {state.upstream_id}
        self._send(request)

    def _begin(
        self, request: _Request, placement: Placement, key: int, first_token_s: float
    ) -> None:
        node, outcome = request.node, request.outcome
        placement.state.record_success()
        node.attempts.record_first_byte(
            placement, request.model, key, first_token_s, self.now_s
        )
        outcome.is_good = request.hardness < self._models[request.model].quality
        larger = self._larger_model(request)
        if larger is not None:
            self._end(request, placement, key, AttemptEnd.ABANDONED)
            request.model = larger
            self._send(request)
            return
        outcome.first_token_s = self.now_s - outcome.arrived_at_s
        outcome.is_in_time = outcome.first_token_s <= request.request_class.target_s
        self._after(
            DECODING_S,
            lambda: self._end(request, placement, key, AttemptEnd.COMPLETED),
        )
        self._exchange(node)

    def _larger_model(self, request: _Request) -> str | None:
        """Return a larger model if the answer's rating is low; None to keep it."""
        if not request.model:
            return None
        is_rated_well = self._ratings.random() < RATING_RELIABILITY
        confidence = CONFIDENT if request.outcome.is_good == is_rated_well else UNSURE
        node, choice = request.node, request.choice
        answer = Answer(
            model=request.model,
            confidence=confidence,
            elapsed_s=self.now_s - request.outcome.arrived_at_s,
        )
        node.model_choice.record_answer(choice, answer)
        if not node.model_choice.lacks_confidence(choice, answer):
            return None
        return node.next_model(choice, answer, request.body_bytes, self.now_s).model

    def _end(
        self, request: _Request, placement: Placement, key: int, end: AttemptEnd
    ) -> None:
        engine = self._engines[placement.state.upstream_id]
        engine.end(_engine_prompt(request))
        request.node.attempts.record_ended(placement.state, key, end, self.now_s)
        self._exchange(request.node)

    def _exchange(self, node: RelayNode) -> None:
        """Deliver what an entry has to tell the others."""
        name = node.identity.name
        notices = node.attempts.take_notices(self.now_s)
        unreachable = node.reachability.take_unsent()
        if not notices and not unreachable:
            return

        def deliver() -> None:
            for other in self.nodes:
                if other is node:
                    continue
                other.attempts.apply_notices(name, notices, self.now_s)
                other.apply_unreachable(name, unreachable, self.now_s)

        self._after(NOTICE_DELAY_S, deliver)


def _subject_weights(request_class: RequestClass) -> list[float]:
    """Return the relative frequency of each subject."""
    numbers = range(1, request_class.subjects + 1)
    weights = [number**-request_class.skew for number in numbers]
    total, hot_share = sum(weights), request_class.hot_share
    weights = [weight / total * (1 - hot_share) for weight in weights]
    weights[0] += hot_share
    return weights


def _engine_prompt(request: _Request) -> EnginePrompt:
    shared = request.request_class.shared_tokens
    return EnginePrompt(
        model=request.model,
        subject=request.facts.prompt[0].part_id if shared else "",
        own_part=request.facts.request_id,
        shared_tokens=shared,
        own_tokens=request.facts.prompt_tokens - shared,
        output_tokens=request.request_class.output_tokens,
    )


def _create_upstream(number: int, zones: int) -> Upstream:
    return Upstream(
        upstream_id=f"up-{number}",
        service=_SERVICE.name,
        address="10.0.0.1:80",
        zone=f"zone-{number % zones}",
        version="v1",
        slots=64,
    )


def _create_route(request_class: RequestClass) -> Route:
    return Route(
        name=request_class.name,
        host="calls.example",
        path_prefix=f"/{request_class.name}/",
        repeat=RepeatRule.RESUMABLE_STREAM,
        shares=(Share(service=_SERVICE.name, weight=1.0),),
        timeout_s=10.0,
        target_latency_s=request_class.target_s,
        max_attempts=MAX_ATTEMPTS,
        priority=request_class.priority,
        models=request_class.models,
    )
