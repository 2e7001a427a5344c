"""A reader of the figures sees what keeps a program from its work.

A control program ended at each start, and all that was collected of it was its
exit code: no figure told what its data folder lacked, or which part failed.
"""

from types import SimpleNamespace

import pytest

from hingepitch.app import Application
from hingepitch.control.program import Control
from hingepitch.supervisor import Child


def rendered(program):
    return program.metrics.render()[0].decode()


def make_control(**faults):
    sound = {"storage_fault": "", "unread": ""}
    storage = SimpleNamespace(kept_aside="")
    audit = SimpleNamespace(missing_places=0)
    control = Control(None)
    control.metrics = control.make_metrics()
    control.metrics.probes.append(control.measure_folder)
    control.replica = SimpleNamespace(storage=storage, audit=audit, **sound | faults)
    return control


@pytest.mark.parametrize(
    ("fault", "figure"),
    [("storage_fault", "storage_failed"), ("unread", "log_unread")],
)
def test_a_control_shows_what_its_data_folder_lacks(fault, figure):
    line = f'hingepitch_{figure}{{program="control"}}'
    assert f"{line} 0" in rendered(make_control())
    assert f"{line} 1" in rendered(make_control(**{fault: "a reason"}))


def test_every_program_counts_its_failing_children():
    program = Application(None)
    program.program = "any"
    program.metrics = program.make_metrics()
    line = 'hingepitch_children_failing{program="any"}'
    assert f"{line} 0" in rendered(program)
    failing = Child("part", None, failures=3, started=float("inf"))
    program.supervisor.child_by_name["part"] = failing
    assert f"{line} 1" in rendered(program)
