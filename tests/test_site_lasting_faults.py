"""Test that real programs survive faults that recur at every start.

In an incident, restarted programs ended at the same line each time. These tests cause
other faults that last: a program of an earlier version in the group, and addresses or
a data folder that are still in use. The program must wait, or run without the part
that is missing.
"""

import json
import signal
import socket
import sys
from contextlib import ExitStack

import pytest

from adapter.settings import METRICS_PORT
from standin.cluster import http_call, wait_for
from standin.site import Site

JOBS = [f"{number:016x}" for number in range(1, 11)]

#: Script of a control program that does not know one kind of command.
EARLIER_VERSION = """
import runpy, sys
sys.path[:0] = [".", "platform"]
from hingepitch.patch import patch_program
patch_program()
from hingepitch.model import codec
del codec.COMMAND_DECODER_BY_NAME["PutWave"]
sys.argv = ["platform/main.py", "control"]
runpy.run_path("platform/main.py", run_name="__main__")
"""


@pytest.fixture
def site():
    with Site() as made:
        made.start()
        assert made.put_config(1) == 200
        yield made


def start_earlier_version(site, ip):
    process = site.process_by_ip[ip]
    process.kill()
    command, process.command = process.command, [sys.executable, "-c", EARLIER_VERSION]
    process.start()
    process.command = command
    wait_for(lambda: site.status(ip), what="the earlier version")


def put_wave(site):
    body = {"wave": 1, "machines": ["m-0"], "duration_s": 30, "max_items": 1}
    return site.call_any_control("POST", "/-/wave-start", json.dumps(body))[0]


def wait_until_succeeded(site, jobs):
    done = ["succeeded"] * len(jobs)
    wait_for(lambda: [site.state(job) for job in jobs] == done, 40, "the jobs' end")
    assert not site.doubled_tasks()


def test_earlier_version_stores_and_votes_on_unknown_commands(site):
    leader = site.leader()
    earlier = [ip for ip in site.control_ips if ip != leader][:2]
    for ip in earlier:
        start_earlier_version(site, ip)
    assert put_wave(site) == 200
    wait_for(lambda: all(site.status(ip)["unread"] for ip in earlier), what="unread")
    # Three of five replicas are left; two of them run the earlier version.
    others = [ip for ip in site.control_ips if ip not in earlier]
    for ip in others[:2]:
        site.process_by_ip[ip].kill()
    assert site.submit(JOBS[0], 2) == 200
    wait_until_succeeded(site, JOBS[:1])
    assert site.leader() == others[2]
    for ip in earlier:
        assert site.process_by_ip[ip].is_running()
        assert site.process_by_ip[ip].log().count("event=entry_unread") == 1
        assert http_call(f"{ip}:{site.port}", "GET", "/healthz")[0] == 503
    # Restarted with the later version, they can replace the leader.
    for ip in earlier:
        site.restart(ip)
    for ip in others[:1]:
        site.restart(ip)
    site.process_by_ip[others[2]].kill()
    assert site.submit(JOBS[1], 2) == 200
    wait_until_succeeded(site, JOBS[:2])
    assert not any(site.status(ip)["unread"] for ip in earlier)


def test_leader_of_an_earlier_version_hands_over(site):
    for ip in site.control_ips:
        start_earlier_version(site, ip)
    for ip in site.control_ips[:2]:
        site.restart(ip)
    wait_for(site.leader, what="a leader")
    assert put_wave(site) == 200
    wait_for(lambda: site.leader() in site.control_ips[:2], 40, "a leader that can")
    assert site.submit(JOBS[0], 2) == 200
    wait_until_succeeded(site, JOBS[:1])
    assert all(site.process_by_ip[ip].is_running() for ip in site.control_ips)


def occupy(stack, *addresses):
    """Listen on the addresses until the stack is closed."""
    for address in addresses:
        sock = stack.enter_context(socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen()


def refusals(process):
    return process.log().count("event=address_refused")


def test_control_program_runs_while_its_addresses_are_in_use(site):
    ip, other = site.control_ips[:2]
    process = site.process_by_ip[ip]
    process.kill()
    with ExitStack() as stack:
        occupy(stack, (ip, site.port), (ip, METRICS_PORT))
        process.start()
        wait_for(lambda: refusals(process) == 2, what="both refusals")
        # With two others killed, the quorum needs this replica's vote.
        for killed in site.control_ips[3:]:
            site.process_by_ip[killed].kill()
        assert site.submit(JOBS[0], 2) == 200
        wait_until_succeeded(site, JOBS[:1])
        assert process.is_running()
    wait_for(lambda: site.status(ip), what="an answer at its own address")
    assert http_call(f"{ip}:{METRICS_PORT}", "GET", "/metrics")[0] == 200
    assert site.status(other)


def test_entry_is_not_ready_while_its_address_is_in_use(site):
    ip = site.entry_ips[0]
    process = site.process_by_ip[ip]
    process.kill()
    ready = f"{ip}:{site.ready_port}"
    with ExitStack() as stack:
        occupy(stack, (ip, site.port))
        process.start()
        wait_for(lambda: refusals(process), what="the refusal")
        wait_for(lambda: "event=started" in process.log(), what="the start")
        assert http_call(ready, "GET", "/-/ready")[0] == 503
    wait_for(lambda: http_call(ready, "GET", "/-/ready")[0] == 200, what="ready")
    assert process.is_running()


def test_program_waits_for_the_folder_lock_of_its_predecessor(site):
    ip = site.control_ips[0]
    before = site.process_by_ip[ip]
    before.signal(signal.SIGSTOP)
    after = site.process_by_ip[ip] = site.make_process(ip)
    try:
        after.start()
        wait_for(lambda: "folder_locked" in after.log(), what="the folder in use")
        assert after.is_running()
    finally:
        before.kill()
    wait_for(lambda: site.status(ip), what="an answer")
    assert after.is_running()
