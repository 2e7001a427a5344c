"""The saved addresses of the control replicas.

Guards against a registry file torn by a power loss. After all machines had lost
power, replicas with an intact disk could not read theirs and knew only the
addresses in their settings.
"""

from hingepitch.jobs.question import MemberRow
from hingepitch.peerregistry import PeerRegistry
from standin.powerdisk import RecordingDisk

ROWS = [MemberRow("n9", "10.0.0.9:7060", True)]


def test_the_registry_is_synced_before_it_replaces_the_old_file(tmp_path):
    calls = []
    disk = RecordingDisk(lambda call: calls.append(call.name))
    PeerRegistry([], tmp_path, disk).update_rows(ROWS)
    assert calls[-3:] == ["sync", "rename", "sync_folder"]


def test_a_saved_registry_is_loaded_at_the_next_start(tmp_path):
    PeerRegistry([], tmp_path).update_rows(ROWS)
    again = PeerRegistry(["10.0.0.1:7060"], tmp_path)
    again.load()
    assert again.addresses() == ["10.0.0.9:7060", "10.0.0.1:7060"]


def test_a_torn_registry_file_leaves_the_configured_addresses(tmp_path):
    (tmp_path / "peers").write_bytes(b"\x91\x93")
    book = PeerRegistry(["10.0.0.1:7060"], tmp_path)
    book.load()
    assert book.addresses() == ["10.0.0.1:7060"]
