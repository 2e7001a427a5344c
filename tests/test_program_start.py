"""What a program loads before it serves: callers of an entry that restarts wait for it.

Run in a process of their own, as the patch and the imports last for the process.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent

LOADED = """
import sys
sys.path.insert(0, "platform")
from hingepitch.patch import patch_program
patch_program()
import adapter.program
adapter.program.load_program("entry")
print("\\n".join(sys.modules))
"""

SEARCHES = """
from importlib import metadata
searches = []
metadata.entry_points = lambda **group: searches.append(group) or ()
from gevent import events
before = events.notify_and_call_entry_points
from hingepitch.patch import patch_program
patch_program()
assert events.notify_and_call_entry_points is before
print(len(searches))
"""


def run(program):
    command = [sys.executable, "-c", program]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout


# Guards against an entry that takes a second longer to start since it loads the
# commands of the log, the state machine or the parts of a replica.
def test_an_entry_loads_no_parts_of_a_replica():
    loaded = set(run(LOADED).split())
    assert "adapter.front" in loaded
    for name in ("jobs.command", "jobs.table", "model.state", "control.replica"):
        assert f"hingepitch.{name}" not in loaded


# Guards against a search of all installed packages at each step of the patch.
def test_the_patch_looks_for_no_plug_ins():
    assert run(SEARCHES).strip() == "0"
