"""A replica with a data folder and without peers."""

from types import SimpleNamespace

from hingepitch.control.audit import AuditTrail
from hingepitch.control.replica import Replica
from hingepitch.control.storage import Storage


def make_replica(folder, name="c1"):
    """Return a `Replica` of a data folder that is not open yet."""
    return Replica(
        Storage(folder, name),
        AuditTrail(folder),
        SimpleNamespace(send=lambda *_: None),
        SimpleNamespace(take_over=lambda now: None),
        lambda identity: identity,
        "1",
    )
