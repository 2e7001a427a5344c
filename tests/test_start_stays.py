"""A control program whose data folder cannot be used stays, and tells why.

Users saw a control end with code 1 at each start for the rest of a day, and with
two disks lost there was no quorum without it. What was torn is cut or set aside
since then; whatever else a start met in the data folder still ended the program,
each second again, and nobody could ask it why. Here a record of a version that is
not known, and errors that nobody foresaw.
"""

import os
import re

import gevent
import pytest
from gevent.event import Event

from hingepitch.control import replica as replica_module
from hingepitch.control.audit import AuditTrail
from hingepitch.control.batch import frame
from hingepitch.control.message import Member
from hingepitch.control.storage import found_folder
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.table import JobTable
from standin.cluster import http_call, wait_for
from standin.site import Site
from tests.lone_replica import make_replica

SECONDS = 5
MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)

#: Type of a record that no version has written yet.
LATER_RECORD = frame(99, b"of a later version")


@pytest.fixture(autouse=True)
def short_pause(monkeypatch):
    monkeypatch.setattr(replica_module, "PAUSE_AFTER_FAULT_SECONDS", 0.01)


@pytest.fixture
def folder(tmp_path):
    found_folder(tmp_path / "data", "c1", MEMBERS)
    return tmp_path / "data"


@pytest.mark.parametrize(
    "error",
    [
        HingepitchError("storage_unknown", "unknown record type 99"),
        RuntimeError("nobody foresaw it"),
        StopIteration(),
    ],
)
# Guards against: a start that ends the program by what it meets in its folder.
def test_a_start_outlives_any_error_of_its_data_folder(folder, monkeypatch, error):
    replica = make_replica(folder)
    errors = [error, error]
    open_trail = AuditTrail.open

    def fail_twice(self, *arguments):
        if errors:
            raise errors.pop()
        open_trail(self, *arguments)

    monkeypatch.setattr(AuditTrail, "open", fail_twice)
    opening = gevent.spawn(replica.open_when_possible, Event())
    opening.get(timeout=SECONDS)
    assert replica.core.identity == "c1"
    assert not replica.storage_fault
    replica.close()


# Guards against: a vote that is lost with a state that a fault of the program
# keeps from being read.
def test_a_replica_votes_whatever_reading_its_state_raises(folder, monkeypatch):
    replica = make_replica(folder)
    replica.open()
    snapshot = replica.make_snapshot()
    replica.storage.save_snapshot(snapshot)
    replica.close()

    def fail(content):
        raise RuntimeError("a fault of the program")

    monkeypatch.setattr(JobTable, "from_content", fail)
    again = make_replica(folder)
    again.open()
    assert "a fault of the program" in again.unread
    assert again.core.voters == ["c1"]
    again.close()


# Guards against: a control that answers for a state it has not read yet.
def test_a_replica_that_is_not_open_knows_nothing_and_keeps_nothing(folder):
    replica = make_replica(folder)
    assert not replica.is_leader
    with pytest.raises(HingepitchError) as caught:
        replica.check_read()
    assert caught.value.code == "lost_leadership"
    with pytest.raises(HingepitchError) as caught:
        replica.confirm()
    assert caught.value.code == "not_leader"
    for _ in range(3):
        replica.receive(None)
    assert not replica.inbox
    replica.open()
    replica.check_read()
    replica.close()


# Guards against: a planned stop that is told as a failure while a start waits.
def test_a_start_that_waits_can_be_stopped(folder, monkeypatch):
    def refuse(self, *arguments):
        raise OSError("refused")

    monkeypatch.setattr(AuditTrail, "open", refuse)
    replica = make_replica(folder)
    stopping = Event()
    opening = gevent.spawn(replica.open_when_possible, stopping)
    assert wait_until(lambda: replica.storage_fault, SECONDS)
    stopping.set()
    opening.get(timeout=SECONDS)
    assert not replica.is_open


def last_segment(site, ip):
    return max((site.folder / ip).glob("segment-*"))


def folder_figures(site, ip):
    """Return the figures `storage_failed` and `log_unread` of a control."""
    text = http_call(f"{ip}:{site.port}", "GET", "/metrics")[2].decode()
    return tuple(
        int(re.search(rf"^hingepitch_{name}{{.*}} (\d)$", text, re.MULTILINE)[1])
        for name in ("storage_failed", "log_unread")
    )


# Guards against: a control program that ends at each start, and cannot be asked why.
def test_a_control_stays_while_its_folder_is_of_another_version():
    with Site() as site:
        site.start()
        assert site.put_config(1) == 200
        ip = site.control_ips[0]
        process = site.process_by_ip[ip]
        process.kill()
        segment = last_segment(site, ip)
        size = segment.stat().st_size
        with segment.open("ab") as file:
            file.write(LATER_RECORD)
        process.start()
        wait_for(lambda: site.status(ip), what="the status of the one that waits")
        assert "unknown record type 99" in site.status(ip)["storage_fault"]
        assert http_call(f"{ip}:{site.port}", "GET", "/healthz")[0] == 503
        assert folder_figures(site, ip) == (1, 1)
        assert site.put_config(2) == 200
        os.truncate(segment, size)
        wait_for(lambda: not site.status(ip)["storage_fault"], what="the open folder")
        assert folder_figures(site, ip) == (0, 0)
        # With two others gone, nothing is answered without its vote.
        for gone in site.control_ips[3:]:
            site.process_by_ip[gone].kill()
        assert site.put_config(3) == 200
        assert process.is_running()
