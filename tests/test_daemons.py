"""Test running daemons: invalid callers, unauthenticated peers, operators."""

import json
import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from hingepitch.error import HingepitchError
from hingepitch.rpc import ControlClient
from standin.cluster import BIN, ROOT, Cluster, http_call, wait_for

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.fixture(scope="module")
def cluster():
    with Cluster(entries=1, planners=1) as made:
        made.start()
        yield made


def problem(result):
    status, headers, body = result
    assert headers["content-type" if "content-type" in headers else "Content-Type"] == (
        "application/problem+json"
    )
    return status, json.loads(body)


@pytest.mark.parametrize("program", ["control", "entry", "planner", "load", "admin"])
def test_every_program_prints_help_and_version(program):
    name = f"hingepitch-{program}"
    helped = subprocess.run([BIN / name, "--help"], capture_output=True, text=True)
    assert helped.returncode == 0 and "usage" in helped.stdout
    version = subprocess.run([BIN / name, "--version"], capture_output=True, text=True)
    assert re.match(rf"{name} \d+\.\d+\.\d+", version.stdout)


@pytest.mark.parametrize("program", ["control", "entry", "planner"])
def test_settings_can_be_checked(program, tmp_path):
    command = [BIN / f"hingepitch-{program}", "--check", "--settings"]
    assert subprocess.run([*command, EXAMPLES / f"{program}.yaml"]).returncode == 0
    bad = tmp_path / "bad.yaml"
    bad.write_text("name: x\n")
    finished = subprocess.run([*command, bad], capture_output=True, text=True)
    assert finished.returncode == 2
    assert "shared_key: Field required" in finished.stderr


def test_unknown_service_is_refused(cluster):
    status, body = problem(cluster.request("e1", "spoons", "r"))
    assert (status, body["code"], body["run"]) == (404, "unknown_service", "not_run")


def test_body_over_the_limit_of_the_service_is_refused(cluster):
    body = b"x" * 1_000_001
    status, answer = problem(cluster.request("e1", "eligibility", "r", body))
    assert (status, answer["code"], answer["run"]) == (413, "body_too_large", "not_run")


@pytest.mark.parametrize(
    "headers",
    [{"Hingepitch-Deadline-Ms": "soon"}, {"Hingepitch-Priority": "royal"}],
)
def test_invalid_caller_headers_are_refused(cluster, headers):
    result = cluster.request("e1", "eligibility", "r", **headers)
    status, answer = problem(result)
    assert (status, answer["code"], answer["run"]) == (400, "bad_request", "not_run")


def send_raw(address, data):
    """Send bytes; return all bytes received until the connection closes."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        received = b""
        try:
            while more := sock.recv(65536):
                received += more
        except OSError:
            pass
        return received


def test_header_of_a_megabyte_is_refused(cluster):
    data = b"GET /s/eligibility/x HTTP/1.1\r\nX: " + b"a" * 1_000_000
    answer = send_raw(cluster.http_by_name["e1"], data + b"\r\n\r\n")
    assert answer == b"" or answer.startswith(b"HTTP/1.1 431 ")
    assert cluster.request("e1", "eligibility", "after-header")[0] == 200


def test_smuggled_request_is_refused_and_does_not_run(cluster):
    inner = b"GET /s/eligibility/x HTTP/1.1\r\nRequest-Name: smuggled\r\n\r\n"
    data = (
        b"POST /s/eligibility/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner
    )
    answer = send_raw(cluster.http_by_name["e1"], data)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"bad_framing" in answer
    assert "smuggled" not in cluster.counts()["ran"]


def test_body_shorter_than_its_length_is_refused_and_does_not_run(cluster):
    data = (
        b"POST /s/eligibility/x HTTP/1.1\r\nRequest-Name: short\r\n"
        b"Content-Length: 50\r\n\r\nonly this"
    )
    host, port = cluster.http_by_name["e1"].rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        answer = sock.recv(65536)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert "short" not in cluster.counts()["ran"]


@pytest.mark.parametrize(
    "garbage",
    [b"\xff" * 64, b"\x7f\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\4\1\2\3\4"],
)
def test_garbage_on_the_internal_port_does_not_disturb_the_leader(cluster, garbage):
    leader = cluster.wait_leader()
    assert b"version" not in send_raw(cluster.rpc_by_name[leader], garbage)
    assert cluster.wait_leader() == leader
    assert cluster.process_by_name[leader].is_running()


@pytest.mark.parametrize("method", ["read_index", "propose", "watch", "sync"])
def test_unauthenticated_peer_can_neither_read_nor_write(cluster, method):
    arguments = {"propose": (b"",), "watch": (0, 0), "sync": (None,)}
    address = cluster.rpc_by_name[cluster.wait_leader()]
    client = ControlClient(address, "e1", "another-key-of-16-chars")
    with pytest.raises(HingepitchError) as caught:
        client.call(method, *arguments.get(method, ()))
    assert caught.value.code == "unauthenticated"


@pytest.mark.parametrize("header", [{}, {"Authorization": "Bearer wrong"}])
@pytest.mark.parametrize(
    "path", ["/v1/objects/vm", "/v1/audit", "/v1/watch", "/v1/members"]
)
def test_reads_without_a_token_are_refused(cluster, header, path):
    address = cluster.http_by_name["c1"]
    status, answer = problem(http_call(address, "GET", path, headers=header))
    assert (status, answer["code"]) == (401, "unauthenticated")


def test_second_daemon_on_the_same_folder_is_refused(cluster):
    command = cluster.process_by_name["c1"].command
    finished = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert finished.returncode == 1
    assert "folder_locked" in finished.stderr
    assert cluster.process_by_name["c1"].is_running()


def test_invalid_object_is_refused_with_every_error(cluster):
    with pytest.raises(HingepitchError) as caught:
        cluster.put("journeys", {"kind": "service", "name": "x", "port": 0, "a": 1})
    assert caught.value.code == "bad_object"
    lines = caught.value.detail.splitlines()
    assert {line.partition(":")[0] for line in lines} == {"pool", "port", "a"}


def test_metrics_status_and_health_of_every_daemon(cluster):
    for name in ("c1", "e1", "p1"):
        address = cluster.http_by_name[name]
        wait_for(lambda at=address: http_call(at, "GET", "/healthz")[0] == 200)
        metrics = http_call(address, "GET", "/metrics")[2].decode()
        assert "hingepitch_cpu_seconds" in metrics
        assert cluster.status(name)["name"] == name


def test_operator_reads_changes_and_audits_by_the_command_line(cluster, tmp_path):
    path = tmp_path / "objects.yaml"
    path.write_text("- {kind: pool, name: by-hand, floor: 2}\n")
    applied = cluster.admin("journeys", "apply", str(path), "--wait")
    assert applied.returncode == 0, applied.stderr
    assert "in force everywhere" in applied.stdout
    shown = cluster.admin("journeys", "get", "pool", "by-hand", "--json")
    assert json.loads(shown.stdout)[0]["floor"] == 2
    audit = cluster.admin("prescriptions", "audit", "--name", "by-hand")
    assert "joris" in audit.stdout
    deleted = cluster.admin("journeys", "delete", "pool", "by-hand")
    assert deleted.returncode == 0
    assert cluster.admin("journeys", "get", "pool", "by-hand").returncode == 1


def test_operator_gets_an_explanation_for_a_waiting_job(cluster):
    job = {"kind": "job", "name": "huge", "team": "journeys-team", "cores": 99}
    cluster.put("journeys", {**job, "pool": "journeys-pool"})
    explained = cluster.admin("journeys", "explain", "job", "huge")
    assert "larger than the VM (8 of 8 VMs)" in explained.stdout
    cancelled = cluster.admin("journeys", "cancel", "huge")
    assert cancelled.returncode == 0
    assert cluster.objects("job", "journeys")["huge"]["state"] == "cancelled"


def test_job_runs_and_ends(cluster):
    job = {"kind": "job", "name": "rebuild", "team": "journeys-team"}
    cluster.put("journeys", {**job, "pool": "journeys-pool"})
    wait_for(
        lambda: cluster.objects("job", "journeys")["rebuild"]["state"] == "done",
        what="the end of the job",
    )


def test_log_lines_consist_of_key_value_pairs(cluster):
    for name in ("c1", "e1", "p1"):
        for line in cluster.process_by_name[name].log().splitlines():
            assert re.match(r"time=\S+ level=[A-Z]+ program=[a-z]+ event=[a-z_]+", line)


def test_no_program_of_the_product_starts_another():
    pattern = "subprocess|os.fork|os.exec|multiprocessing|Popen|os.system"
    found = subprocess.run(
        ["grep", "-rnE", pattern, "--include=*.py", "hingepitch"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert found.stdout == ""
    assert sys.executable
