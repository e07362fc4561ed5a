Feature: Jobs
  Each job ends or is said impossible; none runs twice.

  Background:
    Given a job fleet of 4 workers in 2 racks

  Scenario: A job runs to its result
    When job "a" is submitted
    And jobs run for 15 seconds
    Then job "a" is "succeeded"

  Scenario: The task service loses the answer to a submission
    Given the job service loses its next 1 answers
    When non-idempotent job "a" is submitted
    And jobs run for 15 seconds
    Then job "a" is "succeeded"
    And job "a" was started 1 times

  Scenario: The controller crashes after it has recorded the attempt
    When non-idempotent job "a" is submitted
    And the job controller crashes after 1 writes
    And jobs run for 20 seconds
    Then job "a" is "succeeded"
    And job "a" was started 1 times

  Scenario: The worker of a non-idempotent job is lost
    When non-idempotent job "a" is submitted
    And jobs run for 3 seconds
    And the worker of job "a" is lost
    And jobs run for 60 seconds
    Then job "a" is "unknown"
    And job "a" was started 1 times

  Scenario: The worker of an idempotent job is lost
    When job "a" is submitted
    And jobs run for 3 seconds
    And the worker of job "a" is lost
    And jobs run for 60 seconds
    Then job "a" is "succeeded"

  Scenario: The store is down while a job runs
    When job "a" is submitted
    And jobs run for 3 seconds
    And the job store is down for 40 seconds
    And jobs run for 5 seconds
    Then job "a" is "succeeded"
    And job "a" was started 1 times

  Scenario: A job that no worker can hold
    When job "a" asks for 100 cores
    And jobs run for 3 seconds
    Then job "a" is "impossible"
    And job "a" says "job_too_large"

  Scenario: A job that fails wherever it runs
    When job "a" that always fails is submitted
    And jobs run for 90 seconds
    Then job "a" is "impossible"
    And job "a" says "job_fails_everywhere"

  Scenario: A worker that fails all it starts
    Given job worker "w0" fails all it starts
    When 12 jobs are submitted
    And jobs run for 90 seconds
    Then all jobs are "succeeded"
    And job worker "w0" alone is quarantined

  Scenario: A wave of cancellations
    When 150 jobs are submitted
    And all jobs are cancelled
    And urgent job "u" is submitted
    And jobs run for 4 seconds
    Then job "u" was started 1 times
    When jobs run for 60 seconds
    Then job "u" is "succeeded"

  Scenario: A rack and the store are lost together
    When 8 jobs are submitted
    And jobs run for 3 seconds
    And job rack 0 is lost
    And the job store is down for 20 seconds
    And jobs run for 120 seconds
    Then all jobs are "succeeded"
