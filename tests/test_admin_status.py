"""What the command line tells of a replica's data folder."""

import pytest

from hingepitch.admin.program import describe_storage_fault

SOUND = {"storage_fault": "", "unread": "", "set_aside": ""}


@pytest.mark.parametrize(
    ("fields", "fault"),
    [
        ({}, ""),
        ({"storage_fault": "no space left"}, "no space left"),
        ({"unread": "entry 7: not a command"}, "cannot read entry 7: not a command"),
        (
            {"set_aside": "no entry 4", "storage_fault": "no space left"},
            "no space left; log set aside: no entry 4",
        ),
    ],
)
def test_a_fault_of_the_folder_is_named(fields, fault):
    assert describe_storage_fault({**SOUND, **fields}) == fault
