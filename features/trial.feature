Feature: A trial ends by its evidence, once, whichever host judges

  # Guards against a harmful candidate that becomes accepted, or a sound one that is stopped.
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

  # Guards against a candidate that is accepted before its time.
  Scenario: A trial lasts its time
    Then a trial of 60 s is not accepted after 58 s, and is accepted at 70 s

  # Guards against evidence that counts twice or is lost because each host has little of it.
  Scenario: Evidence of several hosts
    Then 3 hosts with 20 requests each stop a trial that needs 50, with doubled and late messages

  # Guards against judges that undo each other's or an operator's write.
  Scenario: Judges and an operator race
    Then whatever 3 judges and an operator do at once each write adds one and no revision falls

  # Guards against a fleet that writes all at once and uses up the store's write rate.
  Scenario: Judges take turns
    Then 9 judges that agree make 1 write

  # Guards against a fleet that reads an unusable record each second.
  Scenario: The record in the store does not parse
    Then a judge whose trial is over reads an unusable record at most 12 times in 120 s

  # Guards against evidence that exceeds what control may cost a host.
  Scenario Outline: The rate of counters at a receiver
    Then with <hosts> hosts a receiver gets at most 3000 bytes/s of counters

    Examples:
      | hosts |
      | 9     |
      | 920   |
