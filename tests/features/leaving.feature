Feature: Leaving VMs and planned stops

  @leaving
  Scenario: A VM leaves while one entry is cut off from the group
    Given a running system with relays
    And callers send requests
    When 100 requests were answered whole
    And the entry e1 is cut off
    And both partners start a maintenance campaign
    Then the first reboot of prescriptions comes
    And no VM got work in the 1.5 s before its reboot or during it
    And the entry e1 refuses work as not run and fails its health check
    When the entry e1 is reconnected
    Then the entry e1 serves again

  @leaving
  Scenario: An entry is frozen while a VM leaves, and woken
    Given a running system
    And callers send requests
    When 100 requests were answered whole
    And the entry e1 is frozen until its lease has run out
    And both partners start a maintenance campaign
    Then the first reboot of prescriptions comes
    When the entry e1 is woken
    Then every VM is maintained
    And nothing was cut off

  @planned_stop
  Scenario: A wave under load with slow requests
    Given a running system
    And callers send requests
    When the minions of prescriptions answer after 400 ms
    And both partners start a maintenance campaign
    Then every VM is maintained
    And nothing was cut off
    And every request was answered whole or refused as not run

  @planned_stop
  Scenario: Entries are stopped and started one after another under load
    Given a running system
    And callers send requests
    When the minions of prescriptions answer after 600 ms
    And 100 requests were answered whole
    And each entry is stopped as planned and started again
    Then the stops ended with exit code 0
    And no request that ran was left without its answer
