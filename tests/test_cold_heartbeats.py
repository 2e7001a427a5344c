"""Heartbeats of minions that are still slow after their start.

What a heartbeat says of the warm-up holds for one incarnation and decreases by itself.
It reaches the leader's agent and is stored nowhere.
"""

import json
from dataclasses import replace

import msgspec
import pytest

from adapter.wire import decode_heartbeat
from hingepitch.clock import lease_seconds
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.content import content_of
from hingepitch.jobs.question import NoteBeat, decode_request, encode
from hingepitch.jobs.service import JobService
from hingepitch.jobs.warmth import WARM
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, TERMS, DispatchHarness
from tests.test_job_rules import make_minion

BODY = {
    "service": "pool",
    "address": "127.0.0.1:9001",
    "zone": "h",
    "state": "ready",
    "seq": 1,
    "capacity": {},
}


class EarlierNoteBeat(msgspec.Struct, tag="NoteBeat", frozen=True):
    """The request as builds without `warm_up_ms` know it."""

    minion: object
    sequence: int
    clock_ms: int | None


class Scene:
    """A leader and one minion, whose heartbeats are delivered by hand."""

    def __init__(self, takes_cold_last=True, **terms):
        self.minion = MemoryMinion(task_seconds=600)
        self.harness = DispatchHarness(
            self.minion,
            terms=replace(TERMS, takes_cold_last=takes_cold_last, **terms),
            connect=lambda record: self.minion,
        )
        harness = self.harness
        self.service = JobService(harness.replica, harness.roster, None, "test")
        assert wait_until(lambda: self.agent is not None, SECONDS)

    @property
    def agent(self):
        session = self.harness.dispatcher.session
        return session and session.agent_by_minion.get(self.minion.life)

    def deliver(self, sequence, warm_up_ms, **changes):
        fields = {"id": self.minion.life, "cpu_millicores": 16_000, **changes}
        record = make_minion(0, **fields)
        clock_ms = self.minion.clock_ms()
        self.service.answer(NoteBeat(record, sequence, clock_ms, warm_up_ms))

    def cold_seconds(self):
        return self.agent.warmth.warm_at - lease_seconds()


@pytest.fixture
def make_scene():
    scenes = []

    def make(**options):
        scenes.append(Scene(**options))
        return scenes[-1]

    yield make
    for one in scenes:
        one.harness.close()


# Guards against a warm-up that is not decoded, and against a heartbeat that is refused
# for one that cannot be true: the minion would be lost.
@pytest.mark.parametrize(
    ("told", "warm_up_ms"),
    [({}, 0), ({"cold_ms": 0}, 0), ({"cold_ms": 2500}, 2500)]
    + [({"cold_ms": 3_600_000}, 3_600_000), ({"cold_ms": 3_600_001}, 0)]
    + [({"cold_ms": 10**30}, 0)],
)
def test_the_warm_up_is_decoded_and_an_impossible_one_counts_as_warm(told, warm_up_ms):
    heartbeat = decode_heartbeat("i-1", json.dumps({**BODY, **told}).encode())
    assert heartbeat.warm_up_ms == warm_up_ms


# Guards against a heartbeat that versions without this field have accepted and that is
# refused now: the minion would be lost where nobody asks for the warm-up.
@pytest.mark.parametrize(
    ("value", "warm_up_ms"),
    [(-1, 0), (1.5, 1), ("9", 0), (None, 0), (True, 0), ([7], 0), ({}, 0)],
)
def test_a_warm_up_that_is_no_time_does_not_refuse_the_heartbeat(value, warm_up_ms):
    data = json.dumps({**BODY, "cold_ms": value}).encode()
    assert decode_heartbeat("i-1", data).warm_up_ms == warm_up_ms


# Guards against heartbeats that get lost between replicas during an upgrade.
def test_earlier_builds_and_this_one_read_each_others_heartbeats():
    record = make_minion(1)
    earlier = EarlierNoteBeat(record, 4, 5)
    assert decode_request(encode(earlier)) == NoteBeat(record, 4, 5, 0)
    data = encode(NoteBeat(record, 4, 5, 6))
    assert msgspec.msgpack.decode(data, type=EarlierNoteBeat).sequence == 4


# Guards against a warm-up that does not end by itself or whose begin is forgotten.
def test_a_warm_up_decreases_by_itself_and_keeps_its_first_length():
    warmth = WARM.updated(4000, 100.0).updated(1000, 103.0)
    assert [warmth.fraction(now) for now in (100, 101, 103, 104)] == [0, 0.25, 0.75, 1]
    ended = warmth.updated(0, 103.5)
    assert not ended.is_cold(103.5) and ended.is_cold(103.4)
    assert WARM.updated(0, 100.0) == WARM


# Guards against a delayed heartbeat that makes a warm minion cold again, and against
# planning by the warm-up of the incarnation before.
def test_only_the_newest_heartbeat_of_an_incarnation_counts(make_scene):
    scene = make_scene()
    scene.deliver(3, 9000, born_ms=5)
    assert wait_until(lambda: 8 < scene.cold_seconds() <= 9, SECONDS)
    scene.deliver(2, 60_000, born_ms=5)
    assert scene.cold_seconds() <= 9
    scene.deliver(4, 0, born_ms=5)
    assert scene.cold_seconds() <= 0
    scene.deliver(6, 20_000, born_ms=5)
    roster = scene.harness.roster
    record = make_minion(0, id=scene.minion.life, born_ms=5)
    roster.pass_heartbeat(NoteBeat(record, 5, None, 50_000))
    assert 19 < scene.cold_seconds() <= 20


# Guards against runs that are placed on a cold minion as on a warm one because its
# first heartbeat came before the leader had an agent for it.
def test_the_first_heartbeat_of_an_incarnation_is_not_lost(make_scene):
    scene = make_scene()
    session = scene.harness.dispatcher.session
    agents = session.agents
    agents.by_minion.pop(scene.minion.life).stop()
    agents.note_cold(scene.minion.life, 7000)
    agents.reconcile()
    assert 6 < scene.cold_seconds() <= 7 and not agents.early_warmth_by_minion


# Guards against a warm-up that a new incarnation under the same id inherits.
@pytest.mark.parametrize("warm_up_ms", [0, 3000])
def test_a_new_incarnation_starts_from_its_own_report(make_scene, warm_up_ms):
    scene = make_scene()
    scene.deliver(1, 9000, born_ms=5)
    agents = scene.harness.dispatcher.session.agents
    agents.reconcile()
    before = scene.agent
    record = make_minion(0, id=scene.minion.life, born_ms=9)
    scene.harness.log.send(commands.BeginIncarnation(record, 0))
    agents.note_cold(scene.minion.life, warm_up_ms)
    agents.reconcile()
    assert scene.agent is not before
    assert scene.agent.warmth.initial_seconds == warm_up_ms / 1000


# Guards against a volatile value in the log or in snapshots, which all replicas and
# all builds have to agree on.
def test_the_warm_up_is_not_part_of_the_job_table(make_scene):
    scene = make_scene()
    scene.deliver(1, 0)
    before = encode(content_of(scene.harness.log.table)), scene.harness.log.index
    scene.deliver(2, 5000)
    assert scene.cold_seconds() > 4
    after = encode(content_of(scene.harness.log.table)), scene.harness.log.index
    assert after == before


# Guards against new behaviour where the settings do not ask for it.
def test_without_the_setting_every_minion_counts_as_warm(make_scene):
    scene = make_scene(takes_cold_last=False)
    scene.deliver(1, 5000)
    assert scene.agent.warmth == WARM


# Guards against settings and heartbeats that never reach the planner.
def test_the_planner_knows_the_cold_minions_and_whether_steps_are_spread(make_scene):
    scene = make_scene(spreads_over_halls=True)
    planner = scene.harness.dispatcher.session.planner
    scene.deliver(1, 60_000)
    context = planner.plan_context()
    assert 0 <= context.warmth_by_minion[scene.minion.life] < 0.5
    assert context.spreads_over_halls
    scene.deliver(2, 0)
    assert not planner.plan_context().warmth_by_minion
    session = make_scene().harness.dispatcher.session
    assert not session.planner.plan_context().spreads_over_halls
