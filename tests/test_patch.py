"""gevent does not patch the test process, so its threads are real threads."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent

CHECK = """
import pytest, sys
code = pytest.main(["--collect-only", "-qq", "tests"])
from gevent.monkey import is_module_patched
sys.exit(3 if is_module_patched("threading") else code)
"""


def test_no_test_module_patches_the_process():
    command = [sys.executable, "-c", CHECK]
    assert subprocess.run(command, cwd=ROOT, capture_output=True).returncode == 0
