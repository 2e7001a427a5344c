"""The soak: a short run by seed, its report, its exit codes and its arguments."""

import subprocess
import sys

import pytest

from soak.__main__ import BAD_INPUT, BROKEN, main
from soak.record import Record

RUN = [sys.executable, "-m", "soak"]


def test_a_short_run_keeps_every_promise_and_reports_its_faults():
    done = subprocess.run(
        [*RUN, "--seed", "3", "--seconds", "6"], capture_output=True, text=True
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "seed 3: kept" in done.stdout
    for words in ("pause", "power lost at", "acknowledged configuration is not"):
        assert words in done.stdout


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["--seed", "one"],
        ["--seed", "-1"],
        ["--seeds", "5..2"],
        ["--seeds", "1-5"],
        ["--minutes", "0"],
        ["--minutes", "nan"],
        ["--seed", "1", "--seconds", "-3"],
        ["--seed", "1", "--minutes", "1"],
        ["--seed", "1", "--keep", "/dev/null/logs"],
    ],
)
def test_invalid_arguments_are_reported_in_one_line(arguments, capsys):
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert ended.value.code == BAD_INPUT
    reported = capsys.readouterr()
    assert reported.out == ""
    assert reported.err.startswith("soak: ")
    assert reported.err.count("\n") == 1


def test_a_broken_promise_is_reported_with_the_log_lines_around_it(tmp_path):
    record = Record()
    record.check("kept", True)
    record.check("broken", False, "the detail")
    (tmp_path / "c1.log").write_text("Traceback\nValueError: torn\nquiet\n")
    reported = "\n".join(record.lines(tmp_path))
    assert "kept: 1 checks, 0 broken" in reported
    assert "BROKEN broken: the detail" in reported
    assert "c1 ValueError: torn" in reported
    assert "quiet" not in reported


def test_a_run_that_breaks_a_promise_has_its_own_exit_code(monkeypatch):
    monkeypatch.setattr("soak.__main__.run_seed", lambda seed, _: seed != 2)
    assert main(["--seeds", "1..3"]) == BROKEN
    assert main(["--seeds", "3..4"]) == 0
