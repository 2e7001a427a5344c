"""Test the adapter: settings, wire formats, and its APIs over one replica."""

import json

import falcon.testing
import pytest

from adapter.control import ControlApi
from adapter.front import FrontApi
from adapter.settings import read_settings
from adapter.wire import decode_heartbeat, decode_job, parse_ended
from hingepitch.error import HingepitchError
from hingepitch.jobs import command as commands, knownindex
from hingepitch.jobs.client import JobClient
from hingepitch.jobs.knownindex import KnownIndex
from hingepitch.jobs.question import decode_request, encode
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.roster import MinionRoster
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step, TaskKey
from hingepitch.metric import Metrics
from tests.test_dispatch import SingleReplica
from tests.test_job_rules import HOST, JOB, Log, task

SETTINGS = """
node: "Core-1"
ip: "10.1.0.11"
zone: "hall-a"
unknown_field: {a: 1}
listen: {control: "10.1.0.11:8623"}
port_range: [7060, 7075]
seeds: ["10.1.0.11:8623", "10.2.0.26:8623"]
bootstrap: true
data_dir: "/data/x"
fault_tolerance: {machines: 2, zones: 0}
bounds: {hold_max_ms: 6000, stop_ms: 200, unknown: 3}
cloud: {address: "10.200.0.1:8621", rate_per_s: 64.0}
"""

ROUTE = {
    "name": "r",
    "host": HOST,
    "path_prefix": "/q/",
    "kind": "unsafe",
    "timeout_ms": 3000,
    "target_latency_ms": 600,
    "priority": 1,
    "service": "pool",
    "attempts": 2,
    "stretch": 1.6,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "pool", "max_conns": 64, "admission_check": True, "spare": False},
        {"name": "off", "spare": True},
    ],
    "limits": {"max_body_bytes": 262144},
}
HEARTBEAT = {
    "service": "pool",
    "address": "127.0.0.1:9001",
    "zone": "h",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0},
    "labels": ["a", "r1"],
    "machine": "m-1",
    "clock_ms": 5,
    "seq": 4,
}


@pytest.fixture
def settings(tmp_path):
    def load(text):
        path = tmp_path / "local.yaml"
        path.write_text(text)
        return read_settings(str(path))

    return load


def test_settings_are_converted_to_control_settings(settings):
    platform = settings(SETTINGS)
    control = platform.to_control()
    assert control.name == "control-10-1-0-11"
    assert control.rpc_address == "10.1.0.11:7060"
    assert control.http_address == "10.1.0.11:8623"
    assert [peer.address for peer in control.peers] == [
        "10.1.0.11:7060",
        "10.2.0.26:7060",
    ]
    assert control.voters == 5


@pytest.mark.parametrize(
    "old, new, path",
    [
        ('zone: "hall-a"', "", "zone"),
        ("[7060, 7075]", "[7060]", "port_range"),
        ('control: "10.1.0.11:8623"', "control: 5", "listen.control"),
        ("machines: 2", "machines: many", "fault_tolerance.machines"),
        ("hold_max_ms: 6000", "hold_max_ms: []", "bounds.hold_max_ms"),
        ('"10.2.0.26:8623"]', '"nowhere"]', "seeds[1]"),
    ],
)
def test_invalid_setting_is_reported_with_its_path(settings, old, new, path):
    assert old in SETTINGS
    with pytest.raises(HingepitchError) as caught:
        settings(SETTINGS.replace(old, new))
    assert caught.value.code == "bad_settings"
    assert caught.value.detail.startswith(f"{path}:")


def test_job_body_is_decoded():
    step = {
        "count": 4,
        "cpu": 500,
        "mem_mb": 256,
        "estimate_ms": 900,
        "affinity": "r1-3",
        "requirements": "b",
        "anti_affinity": 2,
        "long_running": True,
        "may_miss": 1,
        "fills": True,
        "checkpointing": True,
        "speculative": True,
        "target_ms": 30,
    }
    body = {"spec": "text", "steps": [step], "repeat_count": 3, "start_at_ms": 9}
    spec = decode_job(json.dumps(body).encode())
    assert (spec.payload, spec.times, spec.first_due_ms) == ("text", 3, 9)
    assert spec.steps == (
        Step(
            count=4,
            cpu_millicores=500,
            memory_mb=256,
            estimate_ms=900,
            data_rack="r1-3",
            required_label="b",
            max_per_minion=2,
            lasts=True,
            max_away=1,
            fills_spare_cpu=True,
            saves_progress=True,
            allows_copies=True,
            target_ms=30,
        ),
    )


def test_heartbeat_body_is_decoded():
    heartbeat = decode_heartbeat(
        "i-1", json.dumps({**HEARTBEAT, "state": "draining"}).encode()
    )
    assert (heartbeat.sequence, heartbeat.clock_ms) == (4, 5)
    assert heartbeat.minion.is_draining
    assert (heartbeat.minion.vm, heartbeat.minion.pool, heartbeat.minion.rack) == (
        "m-1",
        "pool",
        "r1",
    )


def test_ended_row_is_decoded():
    end = parse_ended([58, f"{JOB}.0.1.9", 3, "lapsed", "half"])
    assert end.task == TaskKey(JOB, 0, 1, 9)
    assert (end.sequence, end.number) == (58, 3)
    assert (end.result, end.checkpoint) == (RunResult.LAPSED, "half")


class LocalGroup:
    """Group client whose only replica answers in the same process.

    `service`
        The `JobService` of the replica.
    """

    def __init__(self, service):
        self.service = service

    def call_once(self, method, data):
        return encode(self.service.answer(decode_request(data)))


class ApiHarness:
    """Entry and control APIs over a group of one replica."""

    def __init__(self, has_accounts=False):
        self.log = Log()
        self.replica = SingleReplica(self.log)
        self.service = JobService(self.replica, MinionRoster(), None, "test")
        client = JobClient(None, self.replica, self.service)
        self.metrics = Metrics("test")
        self.known_index = KnownIndex(LocalGroup(self.service))
        self.known_index.refresh()
        self.front_api = FrontApi(client, self.metrics, self.known_index)
        self.front = falcon.testing.TestClient(self.front_api.make())
        control = ControlApi(client, lambda: "10.0.0.1:80", has_accounts).make()
        self.control = falcon.testing.TestClient(control)

    def call(self, method, path, body=None, host=HOST, **headers):
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        return self.front.simulate_request(
            method,
            path,
            body=data,
            headers={"Host": host, **headers},
            extras={"RAW_PATH": path},
        )

    def put_config(self, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.control.simulate_put("/-/config", body=data).status_code

    def heartbeat(self, life="i-1", **changes):
        body = json.dumps({**HEARTBEAT, **changes}).encode()
        return self.control.simulate_put(f"/-/instances/{life}", body=body)


@pytest.fixture
def system():
    made = ApiHarness()
    assert made.put_config(CONFIG) == 200
    return made


JOB_BODY = {"spec": "text", "steps": [{"count": 2}]}


def test_job_is_submitted_queried_and_cancelled(system):
    assert system.call("GET", f"/q/{JOB}").status_code == 410
    assert system.call("POST", f"/q/{JOB}", JOB_BODY).status_code == 200
    assert system.call("POST", f"/q/{JOB}", JOB_BODY).status_code == 200
    assert system.call("GET", f"/q/{JOB}").json == {"state": "pending"}
    assert system.call("GET", "/q/").json == {"pending": 1}
    assert system.call("DELETE", f"/q/{JOB}").status_code == 200
    assert system.call("GET", f"/q/{JOB}").json == {"state": "cancelled"}
    assert system.call("DELETE", f"/q/{JOB}").status_code == 200


# Guards against a job that is started after its caller was told that it does not exist,
# and against a caller that can never hand it in anew.
def test_a_job_that_was_cancelled_before_it_was_known(system, monkeypatch):
    assert system.call("DELETE", f"/q/{JOB}").status_code == 410
    answer = system.call("POST", f"/q/{JOB}", JOB_BODY)
    assert (answer.status_code, answer.json["code"]) == (410, "job_cancelled")
    assert system.call("GET", f"/q/{JOB}").status_code == 410
    monkeypatch.setattr(knownindex, "MAX_UNREAD_SECONDS", 0.0)
    system.known_index.refresh()
    assert system.call("POST", f"/q/{JOB}", JOB_BODY).status_code == 200
    assert system.call("GET", f"/q/{JOB}").json == {"state": "pending"}


def test_unknown_queue_is_not_found(system):
    for method, path in (
        ("POST", f"/no/{JOB}"),
        ("GET", f"/no/{JOB}"),
        ("GET", "/no/"),
    ):
        assert system.call(method, path, JOB_BODY).status_code == 404
    assert system.call("GET", "/q/", host="other.example").status_code == 404


def test_calls_without_a_configuration_are_refused():
    system = ApiHarness()
    for method, path in (("POST", f"/q/{JOB}"), ("GET", f"/q/{JOB}"), ("GET", "/q/")):
        answer = system.call(method, path, JOB_BODY)
        assert answer.status_code == 503
        assert answer.headers["Retry-After"] == "1"
    assert system.control.simulate_get("/-/config").status_code == 503


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"spec":"x"}',
        b'{"spec":5,"steps":[]}',
        b'{"spec":"x","steps":[]}',
        b'{"spec":"x","steps":[{"count":0}]}',
        b'{"spec":"x","steps":[{"count":-1}]}',
        b'{"spec":"x","steps":[{"count":"1"}]}',
        b'{"spec":"x","steps":[{"count":1,"after":[0]}]}',
        b'{"spec":"x","steps":[{"count":1},{"count":1,"after":[5]}]}',
        b'{"spec":"x","steps":[{"count":99999999}]}',
        b'{"spec":"x","steps":[{"count":1,"cpu":-5}]}',
        b'{"spec":"x","steps":[{"count":1}],"repeat_count":-1}',
        b'{"spec":"x","steps":[{"count":1e400}]}',
        b'{"spec":"\xff","steps":[{"count":1}]}',
        b"[" * 100_000,
        json.dumps({**JOB_BODY, "spec": "x" * 4001}).encode(),
    ],
)
def test_a_malformed_job_is_refused_and_changes_nothing(system, body):
    answer = system.call("POST", f"/q/{JOB}", body)
    assert answer.status_code == 400
    assert answer.json["code"] in ("bad_request", "bad_job")
    assert not system.log.table.job_by_id


@pytest.mark.parametrize("path", ["/q/", "/q/xyz", "/q/" + "0" * 17, "/q/" + "g" * 16])
def test_submission_without_a_job_id_is_refused(system, path):
    assert system.call("POST", path, JOB_BODY).status_code in (400, 404)
    assert not system.log.table.job_by_id


def test_a_body_over_the_limit_is_refused(system):
    answer = system.call("POST", f"/q/{JOB}", b"x" * 262_145)
    assert answer.status_code == 413


def test_the_configuration_is_read_back_as_it_was_sent(system):
    sent = json.dumps({**CONFIG, "version": 9, "more": [1]}, indent=3).encode()
    assert system.put_config(sent) == 200
    assert system.control.simulate_get("/-/config").content == sent


def test_an_older_or_equal_configuration_is_acknowledged_and_changes_nothing(system):
    for version in (6, 7):
        other = {**CONFIG, "version": version, "routes": []}
        assert system.put_config(other) == 200
    assert system.control.simulate_get("/-/config").json == CONFIG


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [{**ROUTE, "service": "nowhere"}]},
        {"routes": [ROUTE, {**ROUTE, "name": "r2"}]},
        {"routes": [{**ROUTE, "timeout_ms": 0}]},
        {"routes": [{key: ROUTE[key] for key in ROUTE if key != "timeout_ms"}]},
        {"routes": None},
        {"services": None},
        {"limits": None},
        {"version": "8"},
    ],
    ids=str,
)
@pytest.mark.parametrize("version", [3, 8])
def test_an_invalid_configuration_is_refused_whatever_its_version(
    system, changes, version
):
    assert system.put_config({**CONFIG, "version": version, **changes}) == 400
    assert system.log.table.config.version == 7


def test_a_configuration_cut_short_is_refused(system):
    whole = json.dumps({**CONFIG, "version": 8}).encode()
    for end in range(0, len(whole), 7):
        assert system.put_config(whole[:end]) == 400


def test_a_minion_is_registered_and_told_where_the_leader_is(system):
    assert system.heartbeat().json == {"heartbeat_url": "10.0.0.1:80"}
    assert system.log.table.minion_by_id["i-1"].pool == "pool"
    system.heartbeat(seq=5, state="draining")
    assert system.log.table.minion_by_id["i-1"].is_draining
    assert system.heartbeat(seq=4).status_code == 200
    assert system.log.table.minion_by_id["i-1"].is_draining


def test_acknowledged_draining_prevents_later_starts(system):
    system.call("POST", f"/q/{JOB}", JOB_BODY)
    system.heartbeat()
    system.heartbeat(seq=5, state="draining")
    assert system.log.start(task()) == [False]


def test_late_heartbeat_does_not_restore_a_removed_minion(system):
    system.heartbeat()
    assert system.control.simulate_delete("/-/instances/i-1").status_code == 200
    assert system.heartbeat(seq=9).status_code == 200
    assert "i-1" not in system.log.table.minion_by_id


@pytest.mark.parametrize("body", [b"", b"{}", b'{"service":1}', b"[]"])
def test_malformed_heartbeat_is_refused(system, body):
    answer = system.control.simulate_put("/-/instances/i-1", body=body)
    assert answer.status_code == 400
    assert not system.log.table.minion_by_id


def test_wave_runs_until_every_vm_is_maintained(system):
    wave = {"wave": 3, "machines": ["m-1"], "duration_s": 20.5, "max_items": 1}
    for _ in range(2):
        answer = system.control.simulate_post("/-/wave-start", json=wave)
        assert answer.status_code == 200
    get = system.control.simulate_get
    assert get("/-/wave-get/3").json == {"state": "running"}
    assert get("/-/wave-get/4").status_code == 404
    system.log.send(commands.BeginUpkeep(3, "m-1", 0))
    system.log.send(commands.SettleUpkeep(3, "m-1", commands.UpkeepStage.OVER))
    assert get("/-/wave-get/3").json == {"state": "succeeded"}
    bad = {**wave, "wave": 5, "max_items": 0}
    assert system.control.simulate_post("/-/wave-start", json=bad).status_code == 400


class RefusingGroup:
    """Group client whose calls fail with the given codes, then succeed."""

    def __init__(self, *codes):
        self.codes = list(codes)

    def call_once(self, method, data):
        if self.codes:
            raise HingepitchError(self.codes.pop(0), retry_after_ms=1000)
        return b"\xc0"


@pytest.mark.parametrize(
    "codes, expected",
    [
        ((), None),
        (("not_leader", "peer_unreachable", "no_leader"), None),
        (("peer_failed", "not_leader"), None),
        (("too_many_jobs",), "too_many_jobs"),
        (("unknown_queue",), "unknown_queue"),
        (("no_leader",) * 99, "no_leader"),
        (("peer_unreachable",) * 99, "no_leader"),
        (("peer_failed",) * 99, "deadline_passed"),
        (("peer_failed", *("no_leader",) * 99), "deadline_passed"),
        (("lost_leadership", "too_many_jobs"), "deadline_passed"),
        # A replica refuses with `storage_failed` only what it has not appended: see
        # tests/test_true_answers.py.
        (("storage_failed", "no_queues"), "no_queues"),
        (("storage_failed",) * 99, "no_leader"),
        (("lost_leadership", "storage_failed", "no_queues"), "deadline_passed"),
        (("over_rate",), "over_rate"),
        (("not_leader", "cannot_finish"), "cannot_finish"),
        (("peer_failed", "over_rate"), "deadline_passed"),
        (("lost_leadership", "cannot_finish"), "deadline_passed"),
    ],
)
def test_call_that_may_have_been_executed_is_not_reported_as_refused(codes, expected):
    client = JobClient(RefusingGroup(*codes))
    if expected is None:
        assert client.ask(None, 0.5, 0.3) is None
        return
    with pytest.raises(HingepitchError) as caught:
        client.ask(None, 0.5, 0.3)
    assert caught.value.code == expected
    assert (caught.value.status == 504) == (expected == "deadline_passed")
