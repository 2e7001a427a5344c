@one_pool
Feature: At every moment, a VM belongs to exactly one pool

  Scenario: Operators race relabels with resent commands over a leader change
    Given a running system with a second pool of prescriptions
    And every replica is watched for pools
    When both partners relabel VMs in a race, resending every command
    And the leader is killed in the middle
    Then the VMs labelled for it are in the second pool
    And no observer saw a VM in two pools or in none
    And no VM was moved more than once
