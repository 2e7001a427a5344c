"""Consistency of the docs, the scenarios, the planted faults and the code."""

import re
from pathlib import Path

import pytest

from hingepitch.error import ERROR_BY_CODE
from hingepitch.log import EVENTS
from standin.faults import FAULTS

ROOT = Path(__file__).parent.parent
TAGS = (
    "budget",
    "one_pool",
    "whole_answer",
    "not_run",
    "at_most_once",
    "leaving",
    "planned_stop",
    "config",
)


def scenarios_by_tag():
    """Return the names of the scenarios by tag."""
    found = {}
    for path in (ROOT / "tests" / "features").glob("*.feature"):
        of_feature, tags = [], []
        for line in path.read_text().splitlines():
            text = line.strip()
            if text.startswith("@"):
                tags = text.replace("@", "").split()
            elif text.startswith("Feature:"):
                of_feature, tags = tags, []
            elif text.startswith("Scenario:"):
                for tag in of_feature + tags:
                    found.setdefault(tag, []).append(text[10:])
                tags = []
    return found


@pytest.mark.parametrize("tag", TAGS)
def test_every_promise_has_scenarios_that_its_page_names(tag):
    page = (ROOT / "docs" / "PROMISES.md").read_text()
    names = scenarios_by_tag()[tag]
    section = page.partition(f"## @{tag}:")[2].partition("\n## ")[0]
    assert names
    for name in names:
        assert f"| {name} |" in section


@pytest.mark.parametrize("tag", TAGS)
def test_every_promise_has_a_planted_fault(tag):
    assert [fault for fault in FAULTS if fault.promise == tag]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_every_planted_fault_fits_the_code(fault):
    for name, old, _ in fault.edits:
        assert (ROOT / "hingepitch" / name).read_text().count(old) == 1


def names_in_code(pattern):
    """Return the matches of `pattern` in the source of `hingepitch`."""
    found = set()
    for path in (ROOT / "hingepitch").rglob("*.py"):
        if "gen" not in path.relative_to(ROOT).parts:
            found |= set(re.findall(pattern, path.read_text()))
    return found


def test_every_event_logged_is_in_the_table_and_used():
    assert names_in_code(r'log_event\(\s*"(\w+)"') <= set(EVENTS)


def test_every_error_code_raised_is_in_the_table():
    raised = names_in_code(r'(?:HingepitchError|Refusal|Failure)\(\s*"(\w+)"')
    assert raised <= set(ERROR_BY_CODE)
