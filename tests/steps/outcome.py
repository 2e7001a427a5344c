"""Steps that check the outcome of a scenario."""

from collections import Counter

from pytest_bdd import parsers, then

from hingepitch.error import HingepitchError
from standin.cluster import http_call, wait_for
from tests.scene import BUDGET, PARTNERS


@then("every VM is maintained")
def all_maintained(scene):
    for partner in PARTNERS:
        scene.wait_maintained(partner)


@then(parsers.parse("every VM of {partner} is maintained"))
def partner_maintained(scene, partner):
    scene.wait_maintained(partner)


@then(parsers.parse("no VM of {partner} was rebooted"))
def none_rebooted(scene, partner):
    assert scene.reboots_of(partner) == []


@then("no partner had more VMs down than its budget")
def budgets_held(scene):
    most = scene.cluster.counts()["most_down_by_group"]
    assert most
    for partner, down in most.items():
        assert down <= BUDGET[partner]


@then("every VM was rebooted once")
def rebooted_once(scene):
    reboots = scene.cluster.counts()["reboots"]
    assert sorted(reboots) == sorted(vm["name"] for vm in scene.cluster.vm_documents)


@then(parsers.parse("that is refused as {code}"))
def is_refused(scene, code):
    assert scene.refusal.code == code


@then("no more than 1 VM of journeys was down after the shrinking")
@then("no observer saw a VM in two pools or in none")
@then("no observer saw a version fall")
def no_faults(scene):
    assert scene.stop_observers() == []


@then("the VMs labelled for it are in the second pool")
def in_second_pool(scene):
    wanted = {vm["name"] for vm in scene.cluster.vm_documents[:4]}

    def are_there():
        vms = scene.cluster.objects("vm").values()
        there = {vm["name"] for vm in vms if vm["pool"] == "second"}
        return there == wanted and all(vm["life"] == "live" for vm in vms)

    wait_for(are_there, 30, "the VMs to move")


@then("no VM was moved more than once")
def moved_once(scene):
    status = scene.cluster.http_by_name["p1"]
    text = http_call(status, "GET", "/metrics")[2].decode()
    line = next(
        line
        for line in text.splitlines()
        if 'command="MoveVm"' in line and 'code="accepted"' in line
    )
    assert float(line.rsplit(" ", 1)[1]) == 4


@then("no caller got another's answer or half of one")
def no_wrong_answer(scene):
    scene.saved_values["verdict"] = scene.verdict()
    assert scene.saved_values["verdict"].wrong_answer == 0


@then(parsers.parse("repeatable requests were answered whole in {part:d} of 100 cases"))
def mostly_whole(scene, part):
    results = [one for one in scene.callers.results if one.service != "refill"]
    whole = sum(one.run == "whole" for one in results)
    others = Counter(
        (one.service, one.run, one.code, one.vm)
        for one in results
        if one.run != "whole"
    )
    assert whole * 100 >= part * len(results), others.most_common()


@then("nothing that was said not to have run did run")
def refused_requests_did_not_run(scene):
    assert scene.verdict().not_run_but_ran == 0


@then("no request without a repeat ran twice")
def no_request_ran_twice(scene):
    assert scene.verdict().ran_twice == 0


@then("every order ran exactly once")
def orders_ran_once(scene):
    ran = scene.cluster.counts()["ran"]
    assert {key: ran.get(key) for key in scene.saved_values["orders"]} == dict.fromkeys(
        scene.saved_values["orders"], 1
    )


@then("every whole answer to an order was the same")
def same_answers(scene):
    for answers in scene.saved_values["orders"].values():
        whole = {str(one[1]) for one in answers if one and one[0] == 200}
        assert len(whole) == 1


@then("the order ran exactly once")
def order_ran_once(scene):
    assert scene.cluster.counts()["ran"]["k1"] == 1


@then("an operator sees the claim of the order as open")
def claim_is_open(scene):
    output = scene.cluster.admin("prescriptions", "claims").stdout
    assert "k1" in output and "open" in output


@then(parsers.parse("the first reboot of {partner} comes"))
def first_reboot(scene, partner):
    wait_for(lambda: scene.reboots_of(partner), 30, "a reboot of a VM of the partner")


@then(
    parsers.parse("no VM got work in the {seconds:f} s before its reboot or during it")
)
def idle_before_reboot(scene, seconds):
    idle = scene.cluster.counts()["idle_before_reboot_by_vm"]
    assert idle and min(idle.values()) >= seconds
    assert scene.cluster.counts()["cut"] == 0


@then(
    parsers.parse("the entry {name} refuses work as not run and fails its health check")
)
def entry_refuses(scene, name):
    wait_for(lambda: scene.healthz(name) == 503, 10, "the health check to fail")
    status, answer = scene.order(name, "while-cut")
    assert (status, answer["code"], answer["run"]) == (503, "no_lease", "not_run")


@then(parsers.parse("the entry {name} serves again"))
def entry_serves(scene, name):
    wait_for(lambda: scene.healthz(name) == 200, 10, "the health check to succeed")
    wait_for(lambda: scene.order(name, "again")[0] == 200, 10, "an answer to the order")


@then("nothing was cut off")
def nothing_cut(scene):
    assert scene.cluster.counts()["cut"] == 0


@then("every request was answered whole or refused as not run")
def whole_or_not_run(scene):
    verdict = scene.verdict()
    assert verdict.answered_whole
    assert (verdict.unknown, verdict.no_answer, verdict.wrong_answer) == (0, 0, 0)


@then("the stops ended with exit code 0")
def stops_succeeded(scene):
    assert scene.stopped == [0] * len(scene.entries)


@then("no request that ran was left without its answer")
def none_cut_by_stop(scene):
    scene.callers.stop()
    ran = scene.cluster.counts()["ran"]
    cut = [
        one.name
        for one in scene.callers.results
        if one.run in ("none", "unknown") and ran.get(one.name)
    ]
    assert cut == []


@then("every accepted change is there once")
def all_there(scene):
    for thread in scene.saved_values["threads"]:
        thread.join()
    full = scene.saved_values.get("full")
    for name in scene.cluster.replica_names:
        if scene.process(name).is_running() and name != full:
            check_accepted(scene, scene.cluster.http_by_name[name])


def check_accepted(scene, address):
    """Check that every accepted change is present at one replica."""
    pools = {row["name"]: row for row in read_when_ready(scene, address)}
    for partner in PARTNERS:
        assert scene.accepted[partner]
        for name, version in scene.accepted[partner]:
            assert name in pools, f"{name} is lost at {address}"
            assert pools[name]["partner"] == partner
            assert pools[name]["version"] <= version


def read_when_ready(scene, address):
    """Return the pools at one replica as soon as it confirms a read."""
    found = []

    def is_read():
        try:
            found.append(scene.read(address, "pool"))
        except HingepitchError:
            return False
        return True

    wait_for(is_read, what=f"a read at {address}")
    return found[-1]


@then("the replica with the full disk is not healthy")
def full_disk_is_unhealthy(scene):
    wait_for(lambda: scene.healthz(scene.saved_values["full"]) == 503)


@then("the replica with the full disk catches up and is healthy")
def full_disk_recovers(scene):
    name = scene.saved_values["full"]
    leader = scene.cluster.wait_leader()
    wait_for(lambda: scene.status_of(leader), what="the leader's status")
    target = scene.status_of(leader)["commit_index"]

    def is_back():
        status = scene.status_of(name)
        return status and status["applied_index"] >= target

    wait_for(is_back, what="the replica to catch up")
    wait_for(
        lambda: scene.healthz(name) == 200,
        what="the health check to succeed",
    )


@then("the audit trail shows every change once")
def audited_once(scene):
    rows = scene.cluster.client("journeys").call("GET", "/v1/audit")
    names = [row["name"] for row in rows if "burst" in row["name"]]
    wanted = [name for changes in scene.accepted.values() for name, _ in changes]
    assert sorted(names) == sorted(wanted)


@then("a read at the woken replica shows the change")
def read_at_woken(scene):
    address = scene.cluster.http_by_name[scene.saved_values["frozen"]]
    rows = {row["name"]: row for row in scene.read(address, "service")}
    assert rows["eligibility"]["deadline_ms"] == 1234


@then("a read at the cut replica is refused or shows the change")
def read_at_cut(scene):
    address = scene.cluster.http_by_name[scene.saved_values["cut"]]
    try:
        rows = {row["name"]: row for row in scene.read(address, "service")}
    except HingepitchError as error:
        assert error.code in (
            "not_leader",
            "no_leader",
            "peer_unreachable",
            "peer_failed",
        )
    else:
        assert rows["eligibility"]["deadline_ms"] == 1234


@then(parsers.parse("the change is in force everywhere within {seconds:d} seconds"))
def in_force(scene, seconds):
    client = scene.cluster.client("prescriptions")
    assert client.wait_in_force(scene.outcome["version"], seconds)


@then("the emptied replica has a new identity and no vote")
def new_identity(scene):
    status = scene.status_of(scene.saved_values["lost"])
    assert status["identity"] != scene.saved_values["lost"]
    assert status["members"] == []
    assert status["role"] == "follower"


@then(parsers.parse("the group stands {count:d} more loss"))
def losses_left(scene, count):
    def stands():
        leader = scene.status_of(scene.cluster.wait_leader())
        if not leader:
            return False
        return leader["losses_left"] == count and len(leader["members"]) == 3

    wait_for(stands, what="the group to tolerate that many losses")
