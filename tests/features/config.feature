@config
Feature: An accepted change is in force within seconds and never reverts

  Scenario: The leader is killed in mid-burst
    Given a running system
    And every replica is watched for versions
    When both partners send 60 changes each, resending lost answers
    And the leader is killed in the middle
    Then every accepted change is there once
    And no observer saw a version fall

  Scenario: All replicas are killed at once after hundreds of changes
    Given a running system
    And every replica is watched for versions
    When both partners send 150 changes each, resending lost answers
    And all replicas are killed and started again
    Then every accepted change is there once
    And no observer saw a version fall
    And the audit trail shows every change once

  Scenario: The leader is frozen past its lease and woken
    Given a running system
    When the leader is frozen
    And a replica takes over
    And prescriptions changes the service eligibility
    And the frozen replica is woken
    Then a read at the woken replica shows the change
    And the change is in force everywhere within 5 seconds

  Scenario: The leader is cut off and asked for what it does not know
    Given a running system with relays
    When the leader is cut off
    And a replica takes over
    And prescriptions changes the service eligibility
    Then a read at the cut replica is refused or shows the change

  Scenario: The leader is cut off silently while operators race
    Given a running system with relays
    And every replica is watched for versions
    When the leader is cut off
    And both partners send 40 changes each, resending lost answers
    And a replica takes over
    And the cut replica is reconnected
    Then every accepted change is there once
    And no observer saw a version fall

  Scenario: An entry is cut off; the change is in force all the same
    Given a running system with relays
    When the entry e1 is cut off
    And prescriptions changes the service eligibility
    Then the change is in force everywhere within 5 seconds
    And the entry e1 refuses work as not run and fails its health check

  Scenario: A disk is lost, the replica replaced, and a second VM lost
    Given a running system
    When a follower loses its disk and comes back empty
    Then the emptied replica has a new identity and no vote
    When an operator replaces the lost replica by the new one
    Then the group stands 1 more loss
    When the leader is killed
    And a replica takes over
    And prescriptions changes the service eligibility
    Then the change is in force everywhere within 5 seconds

  Scenario: The disk of the leader is full for a while
    Given a running system
    And every replica is watched for versions
    When the disk of the leader is full
    And both partners send 20 changes each, resending lost answers
    Then every accepted change is there once
    And the replica with the full disk is not healthy
    When the disk has room again
    Then the replica with the full disk catches up and is healthy
    And no observer saw a version fall
