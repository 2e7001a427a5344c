@budget
Feature: Each partner's availability budget holds

  Scenario: The planner is killed in mid-wave and the leader too
    Given a running system
    When both partners start a maintenance campaign
    And the planner is killed after 2 reboots
    And the leader is killed
    And the planner is started again
    Then every VM is maintained
    And no partner had more VMs down than its budget

  Scenario: Two planners, the active one frozen past its lease and woken
    Given a running system with 2 planners
    When both partners start a maintenance campaign
    And the active planner is frozen after 2 reboots
    And another planner takes over
    And the frozen planner is woken
    Then every VM is maintained
    And no partner had more VMs down than its budget
    And every VM was rebooted once

  Scenario: A VM is lost in mid-wave
    Given a running system
    When the VM p1 is lost
    And both partners start a maintenance campaign
    Then every VM of journeys is maintained
    And no VM of prescriptions was rebooted
    When the VM p1 comes back
    Then every VM is maintained
    And no partner had more VMs down than its budget

  Scenario: The owner shrinks a budget in mid-wave, the other partner may not raise it
    Given a running system
    When both partners start a maintenance campaign
    And journeys shrinks the budget of route to 1 after 2 reboots
    And prescriptions tries to set the budget of route to 5
    Then that is refused as forbidden
    And every VM is maintained
    And no more than 1 VM of journeys was down after the shrinking

  Scenario: A rack is lost in mid-wave
    Given a running system
    When both partners start a maintenance campaign
    And the rack p-rack-2 is lost after 2 reboots
    Then every VM of journeys is maintained
    And no VM of prescriptions is rebooted while the rack is lost
    When the rack p-rack-2 comes back
    Then every VM is maintained
    And no partner had more VMs down than its budget
