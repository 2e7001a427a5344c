"""Metrics show the failing children of a program.

Guards against a program whose failures no metric shows: a control program ended
at each start, and only its exit code was known. `test_unusable_folder` checks the
metrics of the data folder on a real program.
"""

from hingepitch.app import Application
from hingepitch.supervisor import Child


def render_text(program):
    return program.metrics.render()[0].decode()


def test_every_program_counts_its_failing_children():
    program = Application(None)
    program.program = "any"
    program.metrics = program.make_metrics()
    line = 'hingepitch_children_failing{program="any"}'
    assert f"{line} 0" in render_text(program)
    failing = Child("part", None, failures=3, started=float("inf"))
    program.supervisor.child_by_name["part"] = failing
    assert f"{line} 1" in render_text(program)
