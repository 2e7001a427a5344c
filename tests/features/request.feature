Feature: What callers are told

  @whole_answer
  Scenario: Minions answer late, half and out of order
    Given a running system
    And callers send requests
    When the minions of p1 answer after 2500 ms
    And the minions of p2 answer half
    And the minions of j1 answer half
    And the minions of p3 answer after 50 ms
    And 2000 requests were answered whole
    Then no caller got another's answer or half of one
    And repeatable requests were answered whole in 95 of 100 cases

  @not_run
  Scenario: Minions are lost with requests in flight and the entries are overloaded
    Given a running system with 90 callers
    And callers send requests
    When the minions of p4 answer after 300 ms
    And 200 requests were answered whole
    And the VM p4 is lost
    And journeys allows 1 slot and 500 ms at each minion of route
    And every minion of journeys hangs
    And 100 requests were refused as not run
    Then nothing that was said not to have run did run
    And no request without a repeat ran twice

  @not_run
  Scenario: An entry is frozen and woken
    Given a running system
    And callers send requests
    When 100 requests were answered whole
    And the entry e1 is frozen until its lease has run out
    And the entry e1 is woken
    And 100 more requests were answered whole
    Then nothing that was said not to have run did run
    And no request without a repeat ran twice

  @at_most_once
  Scenario: The same orders at every entry, resent during a leader change
    Given a running system
    When 20 orders are each sent 10 times to every entry while the leader is killed
    Then every order ran exactly once
    And every whole answer to an order was the same

  @at_most_once
  Scenario: An entry is killed between claim and answer
    Given a running system
    When the minions of prescriptions answer after 1500 ms
    And an order is sent to e1 and e1 is killed while it runs
    And the order is sent to e2 until it is called unknown
    Then the order ran exactly once
    And an operator sees the claim of the order as open

  @at_most_once
  Scenario: All control replicas are killed while orders come in
    Given a running system
    And callers send requests
    When 100 requests were answered whole
    And all replicas are killed and started again
    And 100 more requests were answered whole
    Then no request without a repeat ran twice
    And nothing that was said not to have run did run
