"""Steps in which VMs, racks and minions fail."""

from pytest_bdd import parsers, then, when

from standin.cluster import wait_for
from tests.steps.operator import down_now


@when(parsers.parse("the VM {name} is lost"))
def lose_vm(scene, name):
    scene.cluster.call_simulation("/lose", {"vms": [name]})
    wait_for(lambda: scene.cluster.objects("vm")[name]["life"] == "lost")


@when(parsers.parse("the rack {rack} is lost after {count:d} reboots"))
def lose_rack(scene, rack, count):
    scene.wait_reboots(count)
    names = scene.vms_in(rack)
    scene.cluster.call_simulation("/lose", {"vms": names})

    def are_lost():
        vms = scene.cluster.objects("vm")
        return all(vms[name]["life"] == "lost" for name in names)

    wait_for(are_lost, what="the lost VMs to be reported lost")
    wait_for(
        lambda: down_now(scene, "prescriptions") == names,
        what="the other VMs to return",
    )
    scene.saved_values["reboots"] = len(scene.reboots_of("prescriptions"))


@then("no VM of prescriptions is rebooted while the rack is lost")
def none_rebooted_since(scene):
    assert len(scene.reboots_of("prescriptions")) == scene.saved_values["reboots"]


@when(parsers.parse("the rack {rack} comes back"))
def recover_rack(scene, rack):
    scene.cluster.call_simulation("/recover", {"vms": scene.vms_in(rack)})


@when(parsers.parse("the VM {name} comes back"))
def recover_vm(scene, name):
    scene.cluster.call_simulation("/recover", {"vms": [name]})


@when(parsers.re(r"the minions of (?P<name>[pj]\d) answer after (?P<delay>\d+) ms"))
def delay_one(scene, name, delay):
    scene.behave([name], delay_ms=int(delay))


@when(parsers.parse("the minions of prescriptions answer after {delay:d} ms"))
def delay_all(scene, delay):
    scene.behave(scene.vms_of("prescriptions"), delay_ms=delay)


@when(parsers.parse("the minions of {name} answer half"))
def answer_half(scene, name):
    scene.behave([name], cut=True)


@when(parsers.parse("every minion of {partner} hangs"))
def hang_all(scene, partner):
    scene.behave(scene.vms_of(partner), hang=True)
