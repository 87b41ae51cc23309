Feature: Logging does not delay requests

  Scenario: A blocked reader causes dropped lines but no delay
    Guards against a host that stops serving because its log is not read.

    Given a pipe that is not read
    When 40000 lines of 100 bytes are logged
    Then no write blocks and the lines beyond 1 MB are counted

  Scenario: Lines arrive complete and in order
    Given a pipe that is read intermittently
    When 5000 lines of 100 bytes are logged
    Then the reader receives all of them in order
