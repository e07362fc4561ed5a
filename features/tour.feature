Feature: The first tour of the README
  A newcomer can follow the page as it is written.

  Scenario: Every command of the tour does what the page says
    Given tour: the deployment of the tour
    When tour: the README's commands are run in turn
    Then tour: all are done, but the last, which a budget refuses
    And tour: a request with the tour's key is answered
