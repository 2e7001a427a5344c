"""The remembered addresses of the control replicas.

Seen after all machines had lost power: each replica that kept its disk could
not read its book, so it knew only the addresses of its settings.
"""

from hingepitch.jobs.question import MemberRow
from hingepitch.peerregistry import PeerRegistry
from standin.powerdisk import NotingDisk

ROWS = [MemberRow("n9", "10.0.0.9:7060", True)]


def test_the_book_is_synced_before_it_takes_the_place_of_the_last(tmp_path):
    calls = []
    disk = NotingDisk(lambda call: calls.append(call.name))
    PeerRegistry([], tmp_path, disk).update_rows(ROWS)
    assert calls[-3:] == ["sync", "rename", "sync_folder"]


def test_a_book_that_was_kept_is_known_at_the_next_start(tmp_path):
    PeerRegistry([], tmp_path).update_rows(ROWS)
    again = PeerRegistry(["10.0.0.1:7060"], tmp_path)
    again.load()
    assert again.addresses() == ["10.0.0.9:7060", "10.0.0.1:7060"]


def test_a_torn_book_leaves_the_addresses_of_the_settings(tmp_path):
    (tmp_path / "peers").write_bytes(b"\x91\x93")
    book = PeerRegistry(["10.0.0.1:7060"], tmp_path)
    book.load()
    assert book.addresses() == ["10.0.0.1:7060"]
