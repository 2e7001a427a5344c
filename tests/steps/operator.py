"""Steps in which operators act."""

import threading

import pytest
from pytest_bdd import parsers, when

from hingepitch.error import HingepitchError
from standin.cluster import wait_for
from tests.scene import PARTNERS


@when("both partners start a maintenance campaign")
def campaigns(scene):
    scene.start_campaigns()


@when(
    parsers.parse(
        "journeys shrinks the budget of route to {budget:d} after {count:d} reboots"
    )
)
def shrink_budget(scene, budget, count):
    scene.wait_reboots(count)
    service = scene.cluster.services()[2][1]
    scene.put("journeys", {**service, "max_down": budget})
    scene.observe(lambda: down_now(scene, "journeys"), check_shrinking(budget))


def down_now(scene, partner):
    """Return the names of a partner's VMs that are down."""
    vms = scene.cluster.objects("vm").values()
    return [
        vm["name"] for vm in vms if vm["partner"] == partner and vm["life"] != "live"
    ]


def check_shrinking(budget):
    """Return a check that no further VM goes down while the budget is exceeded."""

    def check(last, value):
        added = set(value) - set(last if last is not None else value)
        if added and len(value) > budget:
            yield f"down: {value}"

    return check


@when(parsers.parse("prescriptions tries to set the budget of route to {budget:d}"))
def try_budget(scene, budget):
    service = scene.cluster.services()[2][1]
    with pytest.raises(HingepitchError) as caught:
        scene.put("prescriptions", {**service, "max_down": budget})
    scene.refusal = caught.value


@when(
    parsers.parse("both partners send {count:d} changes each, resending lost answers")
)
def burst(scene, count):
    scene.saved_values["threads"] = scene.burst_both(count)


@when("both partners relabel VMs in a race, resending every command")
def race_relabels(scene):
    def relabel(partner):
        client = scene.cluster.client(partner)
        for vm in scene.cluster.vm_documents[:4]:
            labels = {**vm["labels"], "color": "green"}
            for _ in range(5):
                body = {"id": f"relabel-{vm['name']}", "put": {**vm, "labels": labels}}
                try:
                    client.call("POST", "/v1/commands", body)
                except HingepitchError as error:
                    assert error.code == "forbidden"
                    assert partner == "journeys"

    scene.saved_values["threads"] = [
        threading.Thread(target=relabel, args=(partner,)) for partner in PARTNERS
    ]
    for thread in scene.saved_values["threads"]:
        thread.start()


@when(parsers.parse("prescriptions changes the service {name}"))
def change_service(scene, name):
    service = scene.cluster.services()[0][1]
    assert service["name"] == name
    scene.put("prescriptions", {**service, "deadline_ms": 1234})


@when("a follower loses its disk and comes back empty")
def lose_disk(scene):
    leader = scene.cluster.wait_leader()
    name = next(one for one in scene.cluster.replica_names if one != leader)
    scene.saved_values["lost"] = name
    scene.process(name).kill()
    folder = scene.cluster.folder / f"data-{name}"
    for path in folder.iterdir():
        path.unlink()
    scene.process(name).start()
    wait_for(lambda: scene.status_of(name))


@when("an operator replaces the lost replica by the new one")
def replace_replica(scene):
    name = scene.saved_values["lost"]
    identity = scene.status_of(name)["identity"]
    address = scene.cluster.rpc_by_name[name]
    hall = scene.status_of(name)["hall"]
    run_admin(
        scene,
        *("members", "add", identity, "--name", name),
        *("--address", address, "--hall", hall),
    )
    wait_for(
        lambda: (
            scene.cluster.admin(
                "prescriptions", "members", "promote", identity
            ).returncode
            == 0
        ),
        what="promotion",
    )
    run_admin(scene, "members", "remove", name)


def run_admin(scene, *arguments):
    """Run the command line until it succeeds; a call to a follower may fail."""
    wait_for(
        lambda: scene.cluster.admin("prescriptions", *arguments).returncode == 0,
        what=" ".join(arguments),
    )
