Feature: Operators change the configuration
  An operator is told truthfully what became of each change.

  Background:
    Given an operator with team "sales" and pool "copper"
    And an operator's document of service "copper" with queue limit 10

  Scenario: The store's answer is lost after the write took effect
    Given the operator's next write loses its answer after it took effect
    When the operator applies the document
    Then the operator is told "accepted" with exit code 0
    And the operator finds queue limit 10 in the store

  Scenario: The store's answer is lost before the write took effect
    Given the operator's next write loses its answer before it took effect
    When the operator applies the document
    Then the operator is told "accepted" with exit code 0
    And the operator finds queue limit 10 in the store

  Scenario: The store stops answering for good
    Given the operator's writes lose all answers before they take effect
    When the operator applies the document
    Then the operator is told "unknown" with exit code 3

  Scenario: Two operators race
    Given the operator has applied the document
    And another operator sets queue limit 5 while this one sets 20
    When the operator applies the document
    Then the operator is told "conflict" with exit code 1
    And the operator sees the other's change "queue_limit: 10 -> 5"
    And the operator finds queue limit 5 in the store

  Scenario: A drain that a budget does not allow
    Given the operator has applied the document
    And the operator has added instances "i1" and "i2" to pool "copper"
    When the operator drains "i1"
    Then the operator is told "accepted" with exit code 0
    When the operator drains "i2"
    Then the operator is refused with "draining already: i1" and exit code 1

  Scenario: A withdrawn key
    Given the operator has given team "sales" a key
    When the operator withdraws that key
    Then the operator is told "accepted" with exit code 0
    And the store holds nothing of the operator's key

  Scenario: The command line over the network
    Given the operator uses a store in another process
    And the operator's store loses its next 2 answers after the writes
    When the operator sets team "yard" with share 3 and limit 4
    Then the operator is told "accepted" with exit code 0
    And the operator's store holds team "yard" with share 3
    Given the operator's store is down
    When the operator sets team "yard" with share 5 and limit 4
    Then the operator is refused with "nothing was written" and exit code 4
