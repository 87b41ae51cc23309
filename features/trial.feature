Feature: A trial ends once, by its counters, whichever host ends it

  # Guards against accepting a candidate that exceeds a limit, or stopping one that does not.
  Scenario Outline: The verdict follows the stated measures
    Given a trial with at least 50 requests, error ratio 0.02 and latency ratio 2
    When the candidate has <requests> requests with <errors> errors and <latency> s, the accepted 0.1 s
    Then after 70 s the trial has <verdict>

    Examples:
      | requests | errors | latency | verdict                     |
      | 100      | 2      | 0.1     | accepted                    |
      | 100      | 3      | 0.1     | stopped for error ratio     |
      | 100      | 0      | 0.21    | stopped for mean latency    |
      | 49       | 49     | 9       | accepted                    |

  # Guards against a candidate that is accepted before the end of its trial.
  Scenario: A trial lasts its time
    Then a trial of 60 s is not accepted after 58 s, and is accepted at 70 s

  # Guards against counters that are added twice, or ignored because each host has few requests.
  Scenario: Evidence of several hosts
    Then 3 hosts with 20 requests each stop a trial that needs 50, with doubled and late messages

  # Guards against hosts that overwrite each other's or an operator's write.
  Scenario: Judges and an operator race
    Then whatever 3 judges and an operator do at once each write adds one and no revision falls

  # Guards against simultaneous writes by all hosts that exhaust the store's write rate.
  Scenario: Judges take turns
    Then 9 judges that agree make 1 write

  # Guards against a fleet that reads an invalid record every second.
  Scenario: The record in the store does not parse
    Then a judge whose trial is over reads an unusable record at most 12 times in 120 s

  # Guards against counters that exceed the bandwidth limit of control traffic on a host.
  Scenario Outline: The rate of counters at a receiver
    Then with <hosts> hosts a receiver gets at most 3000 bytes/s of counters

    Examples:
      | hosts |
      | 9     |
      | 920   |
