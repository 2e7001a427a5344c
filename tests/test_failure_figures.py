"""A reader of the figures sees which parts of a program fail.

A control program ended at each start, and all that was collected of it was its
exit code: no figure told which part failed. Those of its data folder are looked
at on a real program, in `test_start_stays`.
"""

from hingepitch.app import Application
from hingepitch.supervisor import Child


def rendered(program):
    return program.metrics.render()[0].decode()


def test_every_program_counts_its_failing_children():
    program = Application(None)
    program.program = "any"
    program.metrics = program.make_metrics()
    line = 'hingepitch_children_failing{program="any"}'
    assert f"{line} 0" in rendered(program)
    failing = Child("part", None, failures=3, started=float("inf"))
    program.supervisor.child_by_name["part"] = failing
    assert f"{line} 1" in rendered(program)
