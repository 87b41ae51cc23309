Feature: Logging never holds up requests

  Scenario: A reader that is stuck costs lines and not time
    This guards against a host that stops serving because nobody reads its log.

    Given a pipe that nobody reads
    When 40000 lines of 100 bytes are logged
    Then no write waits and the lines beyond 1 MB are counted

  Scenario: Lines arrive whole and in order
    Given a pipe that is read now and then
    When 5000 lines of 100 bytes are logged
    Then the reader gets all of them in order
