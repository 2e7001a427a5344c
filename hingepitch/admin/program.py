"""
hingepitch.admin.program
~~~~~~~~~~~~~~~~~~~~~~~~

The operators' command line.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import sys
import time
from urllib.parse import quote

import yaml

from hingepitch.admin.client import AdminClient, AdminSettings
from hingepitch.admin.table import print_line, print_rows
from hingepitch.admin.trail import merge_trails
from hingepitch.cmdline import run_command
from hingepitch.error import ExitCode, HingepitchError
from hingepitch.setting import load_settings

__all__ = ["main"]

DEFAULT_SETTINGS = "hingepitch-admin.yaml"

COLUMNS_BY_KIND = {
    "vm": ("name", "partner", "pool", "hall", "rack", "life", "labels", "version"),
    "service": ("name", "partner", "pool", "selector", "max_down", "repeatable"),
    "claim": ("service", "key", "state", "entry", "at_seconds", "status"),
    "job": ("name", "partner", "team", "pool", "state", "vm", "attempts"),
}

#: Columns of the status table: identity, role, log positions and storage faults.
STATUS_COLUMNS = (
    "address",
    "identity",
    "hall",
    "role",
    "term",
    "snapshot_index",
    "last_index",
    "applied_index",
    "fault",
)


def open_client(settings):
    """Return a client with the settings of the file `settings`."""
    return AdminClient(load_settings(AdminSettings, settings))


def apply(file: str, *, settings: str = DEFAULT_SETTINGS, wait: bool = False):
    """Apply the objects of a YAML file, one command each.

    :param file: YAML file with a list of objects, each with its kind
    :param settings: the settings file of this program
    :param wait: wait until the changes are in force everywhere
    """
    client = open_client(settings)
    with open(file, encoding="utf-8") as stream:
        documents = yaml.safe_load(stream)
    version = 0
    for document in documents:
        outcome = client.command(put=document)
        version = max(version, outcome["version"])
        print(f"{document['kind']} {document['name']}: version {outcome['version']}")
    if wait:
        return report_in_force(client, version)
    return ExitCode.SUCCESS


def report_in_force(client, version):
    """Wait until a version is in force; print the result, return the exit code."""
    if client.wait_in_force(version):
        print(f"version {version} is in force everywhere")
        return ExitCode.SUCCESS
    print(f"version {version} is not in force everywhere yet")
    return ExitCode.FAILED


def delete(kind: str, name: str, *, settings: str = DEFAULT_SETTINGS):
    """Delete an object.

    :param kind: vm, pool, service, team or campaign
    :param name: name of the object
    :param settings: the settings file of this program
    """
    outcome = open_client(settings).command(delete=[kind, name])
    print(f"{kind} {name}: deleted at version {outcome['version']}")
    return ExitCode.SUCCESS


def cancel(*names: str, settings: str = DEFAULT_SETTINGS):
    """Cancel jobs with a single command.

    :param names: names of the jobs
    :param settings: the settings file of this program
    """
    outcome = open_client(settings).command(cancel=list(names))
    print(f"cancelled at version {outcome['version']}")
    return ExitCode.SUCCESS


def get(
    kind: str, name: str = "", *, settings: str = DEFAULT_SETTINGS, json: bool = False
):
    """Show all objects of a kind, or one of them.

    :param kind: vm, pool, service, team, campaign, permit, claim, job, entry
    :param name: show only the object of this name
    :param settings: the settings file of this program
    :param json: print JSON
    """
    client = open_client(settings)
    if name:
        rows = [client.call("GET", f"/v1/objects/{kind}/{name}")]
    else:
        rows = client.call("GET", f"/v1/objects/{kind}")
    print_rows(rows, json, COLUMNS_BY_KIND.get(kind, ()))
    return ExitCode.SUCCESS


def claims(*, settings: str = DEFAULT_SETTINGS, json: bool = False):
    """Show the open claims: requests whose outcome is not known (yet).

    :param settings: the settings file of this program
    :param json: print JSON
    """
    rows = open_client(settings).call("GET", "/v1/objects/claim")
    open_rows = [row for row in rows if row["state"] == "open"]
    print_rows(open_rows, json, COLUMNS_BY_KIND["claim"])
    return ExitCode.SUCCESS


def status(*, settings: str = DEFAULT_SETTINGS, json: bool = False):
    """Show the replicas, and how many more losses the group tolerates.

    :param settings: the settings file of this program
    :param json: print JSON
    """
    client = open_client(settings)
    rows = [replica_status(client, address) for address in client.settings.control]
    print_rows(rows, json, STATUS_COLUMNS)
    leaders = [row for row in rows if row.get("role") == "leader"]
    if leaders and not json:
        newest = max(leaders, key=lambda row: row["term"])
        halls = ", ".join(newest["halls_that_may_go"]) or "none"
        print(f"losses left: {newest['losses_left']}; halls that may be lost: {halls}")
    return ExitCode.SUCCESS if leaders else ExitCode.FAILED


def replica_status(client, address):
    """Return the status of one replica, or the reason why it is not available."""
    try:
        answer = client.call_replica(address, "GET", "/status")
    except HingepitchError as error:
        return {"address": address, "fault": error.detail}
    return {"address": address, "fault": describe_storage_fault(answer), **answer}


def describe_storage_fault(answer):
    """Return the faults of the data folder of a replica; empty if there are none."""
    faults = (
        answer["storage_fault"],
        answer["unread"] and f"cannot read {answer['unread']}",
        answer["set_aside"] and f"log set aside: {answer['set_aside']}",
    )
    return "; ".join(filter(None, faults))


def explain(kind: str, name: str, *, settings: str = DEFAULT_SETTINGS):
    """Explain why a job waits or has failed, or why a VM may not leave service.

    :param kind: job, queued-job or vm
    :param name: name of the job or VM
    :param settings: the settings file of this program
    """
    answer = open_client(settings).call("GET", f"/v1/explain/{kind}/{name}")
    for obstacle in answer["obstacles"]:
        print(obstacle)
    if not answer["obstacles"]:
        print(f"no obstacles for {kind} {name} found")
    return ExitCode.SUCCESS


def accounts(*, settings: str = DEFAULT_SETTINGS, json: bool = False):
    """Show what each client account uses, its quota, and what waits because of it.

    :param settings: the settings file of this program
    :param json: print JSON
    """
    rows = open_client(settings).call("GET", "/v1/accounts")
    print_rows(rows, json)
    return ExitCode.SUCCESS


def halls(*, settings: str = DEFAULT_SETTINGS, json: bool = False):
    """Show each hall: since when it is cordoned, its VMs, and what runs there.

    :param settings: the settings file of this program
    :param json: print JSON
    """
    rows = open_client(settings).call("GET", "/v1/halls")["halls"]
    print_rows(rows, json)
    return ExitCode.SUCCESS


def cordon(hall: str, *, settings: str = DEFAULT_SETTINGS):
    """Start no more runs in a hall.

    Runs that end by themselves finish there; long-running tasks move to other halls
    within their disruption budgets.

    :param hall: name of the hall
    :param settings: the settings file of this program
    """
    return change_cordon(open_client(settings), "POST", hall)


def uncordon(hall: str, *, settings: str = DEFAULT_SETTINGS):
    """Send work to a hall again.

    :param hall: name of the hall
    :param settings: the settings file of this program
    """
    return change_cordon(open_client(settings), "DELETE", hall)


def change_cordon(client, method, hall):
    """Change the cordon of a hall, based on the cordons that are read first.

    The order is refused if another one comes in between, so that an attempt which is
    delayed cannot undo a later order.
    """
    revision = client.call("GET", "/v1/halls")["revision"]
    path = f"/v1/halls/{quote(hall, safe='')}/cordon?base_revision={revision}"
    answer = client.call(method, path)
    state = "cordoned" if answer["is_cordoned"] else "not cordoned"
    print(f"hall {answer['hall']}: {state}")
    return ExitCode.SUCCESS


def audit(
    *,
    partner: str = "",
    operator: str = "",
    name: str = "",
    since_seconds: int = 0,
    settings: str = DEFAULT_SETTINGS,
    json: bool = False,
):
    """Show the audit trail: who changed what and when, with old and new values.

    :param partner: only commands of this partner
    :param operator: only commands of this operator
    :param name: only commands on the object of this name
    :param since_seconds: only commands since this time, in seconds since the epoch
    :param settings: the settings file of this program
    :param json: print JSON
    """
    client = open_client(settings)
    query = (
        f"/v1/audit?partner={partner}&operator={operator}&name={name}"
        f"&since_seconds={since_seconds}"
    )
    trails = []
    for address in client.settings.control:
        try:
            trails.append(client.call_replica(address, "GET", query))
        except HingepitchError as error:
            if error.code != "peer_failed":
                raise
            print(f"{address}: no answer", file=sys.stderr)
    rows = merge_trails(trails)
    columns = ("index", "at_seconds", "partner", "operator", "command", "name", "code")
    print_rows(rows, json, columns)
    return ExitCode.SUCCESS


def watch(*, after: int = 0, changes: int = 0, settings: str = DEFAULT_SETTINGS):
    """Print changes as they happen, one line of JSON each.

    :param after: only changes after this version
    :param changes: stop after this number of changes; 0: never
    :param settings: the settings file of this program
    """
    client = open_client(settings)
    printed = 0
    while True:
        answer = client.call("GET", f"/v1/watch?after={after}")
        after = max(after, answer["version"])
        for change in answer["changes"]:
            print_line(change)
            printed += 1
            if printed == changes:
                return ExitCode.SUCCESS
        time.sleep(0.05)


def members(
    action: str = "show",
    identity: str = "",
    *,
    name: str = "",
    address: str = "",
    hall: str = "",
    settings: str = DEFAULT_SETTINGS,
):
    """Show or change the members of the control group.

    :param action: show, add (as a learner), promote (to a voter), remove
    :param identity: identity of the replica, as shown by its /status
    :param name: with add: name of the replica
    :param address: with add: RPC address of the replica
    :param hall: with add: hall of the replica
    :param settings: the settings file of this program
    """
    client = open_client(settings)
    if action != "show":
        given = {"name": name, "address": address, "hall": hall}
        body = {"action": action, "identity": identity}
        body |= {key: value for key, value in given.items() if value}
        client.call("POST", "/v1/members", body)
    answer = client.call("GET", "/v1/members")
    print_rows(answer["members"])
    return ExitCode.SUCCESS


COMMANDS = {
    function.__name__: function
    for function in (
        apply,
        delete,
        cancel,
        get,
        claims,
        status,
        explain,
        accounts,
        halls,
        cordon,
        uncordon,
        audit,
        watch,
        members,
    )
}


def main():
    """Entry point of `hingepitch-admin`."""
    try:
        run_command(COMMANDS, "hingepitch-admin")
    except HingepitchError as error:
        print(f"{error.code}: {error.detail}", file=sys.stderr)
        bad = error.code == "bad_settings"
        sys.exit(ExitCode.BAD_SETTINGS if bad else ExitCode.FAILED)
