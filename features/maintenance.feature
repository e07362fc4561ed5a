Feature: Maintenance waves
  Every planned stop drains, stays within the budgets, and survives the
  loss of its controller, the store, the platform, racks and zones.

  Background:
    Given a maintenance pool of 9 instances in 3 zones with a wave

  Scenario: A wave maintains every instance once
    When maintenance runs until the wave is done
    Then every maintained instance was rebooted once

  Scenario: A running request holds up its instance
    Given maintenance requests that run on every instance
    When maintenance runs for 60 seconds
    Then maintenance has rebooted 0 instances
    And maintenance explains "i00" with "not_drained"

  Scenario: The controller crashes between claim and reboot
    When the maintenance controller crashes after 3 writes
    And maintenance runs until the wave is done
    Then every maintained instance was rebooted once
    And no maintenance claim is left

  Scenario: A controller that was paused comes back late
    When the maintenance controller is paused while another works on
    And maintenance runs until the wave is done
    Then every maintained instance was rebooted once
    And no maintenance claim is left

  Scenario: The store is down
    Given maintenance runs for 9 seconds
    When the maintenance store is down for 60 seconds
    Then maintenance has rebooted 1 instances
    And maintenance explains "copper" with "store_outage"
    When maintenance runs until the wave is done
    Then every maintained instance was rebooted once

  Scenario: The store's answers are lost after the write
    When the next 5 answers of the maintenance store are lost
    And maintenance runs until the wave is done
    Then every maintained instance was rebooted once
    And no maintenance claim is left

  Scenario: The platform loses the answer to a reboot
    Given maintenance runs for 7 seconds
    When the next 3 answers of the maintenance platform are lost
    And maintenance runs until the wave is done
    Then every maintained instance was rebooted once

  Scenario: A zone is lost in the middle of a wave
    Given maintenance runs for 25 seconds
    When maintenance zone 2 is lost
    And maintenance runs for 15 seconds
    Then maintenance has rebooted 1 instances
    And maintenance explains "i10" with "budget"
    When maintenance runs until the wave is done
    Then no maintenance claim is left

  Scenario: A bad image halts the wave at the canary
    Given the maintenance image does not come up
    When maintenance runs for 120 seconds
    Then the maintenance wave is "halted"
    And maintenance has rebooted 1 instances
    When the maintenance operator says "roll_back"
    And maintenance runs for 200 seconds
    Then the maintenance wave is "rolled_back"
    And no maintenance claim is left

  Scenario: A halt gives drained instances back
    Given maintenance runs for 3 seconds
    When the maintenance operator says "halt"
    And maintenance runs for 10 seconds
    Then maintenance has rebooted 0 instances
    And no maintenance claim is left

  Scenario: Two operators race each other
    When the maintenance operator says "halt"
    Then the maintenance operator is refused "halt" because "when halted"

  Scenario: An instance that the platform replaced is not rebooted
    Given maintenance instance "i11" was replaced a moment ago
    When maintenance runs until the wave is done
    Then maintenance has rebooted 8 instances

  Scenario: An instance moves drained to another pool
    When a maintenance move of "i22" to "spare" is asked for
    And maintenance runs until the wave is done
    Then maintenance instance "i22" is in pool "spare"
    And no maintenance claim is left

  Scenario: The wave's own failures and an outage come together
    Given maintenance runs for 9 seconds
    When maintenance zone 1 is lost
    And the maintenance store is down for 30 seconds
    And maintenance runs until the wave is done
    Then no maintenance claim is left
