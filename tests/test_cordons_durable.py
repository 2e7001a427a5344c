"""Acknowledged cordons outlast a loss of all power, with and without a snapshot."""

import pytest

from hingepitch.control import replica as replica_module
from hingepitch.error import HingepitchError
from hingepitch.jobs.question import SetCordon
from hingepitch.jobs.roster import MinionRoster
from hingepitch.jobs.service import JobService
from tests.power_replica import PowerReplica

#: Orders before each loss of power.
ORDERS = 9


def service_of(one):
    return JobService(one.replica, MinionRoster(), None, "test")


def order(one, hall, is_cordoned):
    service = service_of(one)
    revision = service.halls.listing().revision
    service.answer(SetCordon(hall, is_cordoned, revision, True))


# Guards against an acknowledged order that is lost with the power, and a revision that
# begins anew, at which an order from before could be applied.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("entries", [4, 1000], ids=["snapshots", "log only"])
def test_an_acknowledged_order_outlasts_a_loss_of_power(
    tmp_path, monkeypatch, seed, entries
):
    monkeypatch.setattr(replica_module, "MIN_SNAPSHOT_ENTRIES", entries)
    monkeypatch.setattr(replica_module, "MAX_SNAPSHOT_ENTRIES", entries)
    monkeypatch.setattr(replica_module, "ENTRIES_KEPT_BEHIND_SNAPSHOT", 2)
    one = PowerReplica(tmp_path / "data", seed)
    one.start()
    try:
        for _ in range(3):
            before = one.replica.state.jobs.cordons.revision
            for number in range(ORDERS):
                order(one, f"h{number % 4}", one.rng.random() < 0.6)
            expected = service_of(one).halls.listing()
            one.lose_power()
            one.start()
            assert service_of(one).halls.listing() == expected
            delayed = SetCordon("new", True, before, True)
            with pytest.raises(HingepitchError, match="stale_version"):
                service_of(one).answer(delayed)
        assert bool(one.replica.storage.snapshot.index) is (entries < ORDERS)
    finally:
        one.kill()
