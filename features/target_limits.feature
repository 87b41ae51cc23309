Feature: Targets in need get no more requests than they name

  Scenario: A target that names a limit in its responses gets no more requests than it allows
    Guards against requests that a target in need has to turn away, or breaks down under (LIMIT).

    Given a target that names a limit of 2 requests a second, and one that responds
    When callers send 20 requests a second for 5 s that prefer the first target
    Then the first target got at most 17 requests in any 4 s
    And every caller got a response

  Scenario Outline: All hosts together keep to the limits of targets
    Guards against hosts that each keep to their share while all of them exceed the limit (LIMIT).

    Given <hosts> hosts, and targets in need that name limits of 0.1 to 20 requests a second
    When each host sends requests to them <case>
    Then no target gets more than it allows in any 4 s from hosts that it has told

    Examples:
      | hosts | case                                                           |
      | 9     | at twice the usual rate                                        |
      | 72    | at twice the usual rate                                        |
      | 195   | at twice the usual rate                                        |
      | 920   | at twice the usual rate                                        |
      | 9     | while no report of another host arrives                        |
      | 72    | while no report of another host arrives                        |
      | 920   | while no report of another host arrives                        |
      | 9     | while each knows nine tenths of the others                     |
      | 195   | while each knows nine tenths of the others                     |
      | 920   | while each knows nine tenths of the others                     |
      | 9     | while one after the other restarts and forgets the limits      |
      | 195   | while one after the other restarts and forgets the limits      |
      | 9     | in bursts                                                      |
      | 72    | in bursts                                                      |
      | 920   | in bursts                                                      |
      | 9     | while the limits rise, fall, end and return                    |
      | 195   | while the limits rise, fall, end and return                    |

  Scenario: All shares together fit what a target tolerates
    Guards against shares that exceed a limit in some window, or fail for a limit that is no use.

    When fleets of any size and regions divide any limit
    Then their rates and bursts together stay within it in any 4 s, and nobody fails

  Scenario Outline: A target in need gets requests while its limit leaves room
    Guards against shares so small that callers are turned away from a target that could serve them.

    Given <hosts> hosts, and targets in need that name limits of 4 to 20 requests a second
    When each host sends requests to them at twice the usual rate
    Then each target gets at least a third of its limit
    And more urgent requests are refused less often than others

    Examples:
      | hosts |
      | 9     |
      | 72    |

  Scenario Outline: All hosts use a target again when its limit has ended
    Guards against hosts without a share, which hear no answer, that avoid a target for good.

    Given <hosts> hosts, and targets in need that name limits of 4 to 20 requests a second
    When the limits end, and reports of other hosts <arrive>
    Then within <back_s> s of the end <which> may send any number of requests to them

    Examples:
      | hosts | arrive        | back_s | which                         |
      | 9     | arrive        | 3      | each host                     |
      | 195   | arrive        | 3      | each host                     |
      | 920   | arrive        | 10     | each host                     |
      | 9     | do not arrive | 120    | each host                     |
      | 72    | do not arrive | 900    | each host near the targets    |

  Scenario Outline: A limit counts in whatever response of the target it stands
    Guards against a target in need whose limit is heard in complete responses alone.

    Given a target that names a limit of 0 in <answer>, and one that responds
    When 8 requests that prefer the first target follow each other
    Then the first target got at most 2 requests, and the other one the later ones
    And the log records the limit once, and that the target was skipped

    Examples:
      | answer                        |
      | a signed 200                  |
      | a 500 of its own              |
      | a refusal                     |
      | an answer that is cut off     |

  Scenario Outline: A limit that does not concern the target is ignored
    Guards against a target that gets few requests for the need of another one, or of before.

    Given a target that names a limit of 0 in <answer>, and one that responds
    When 3 requests that prefer the first target follow each other
    Then each request has reached the first target

    Examples:
      | answer                                 |
      | an answer of another target            |
      | an answer to another request           |

  Scenario Outline: A malformed limit changes nothing
    Guards against a target that is excluded, or relieved of its limit, by a value that is no number.

    Given a target that names <before> and then <value>, and no other one
    When callers send 20 requests a second for 2 s that prefer the first target
    Then <got> requests reach the first target
    And the log records the malformed limit once

    Examples:
      | before        | value          | got     |
      | no limit      | -1             | all     |
      | no limit      | nan            | all     |
      | no limit      | 1e400          | all     |
      | no limit      | 3,9            | all     |
      | no limit      | 3 and 9        | all     |
      | no limit      | soon           | all     |
      | no limit      | nothing        | all     |
      | a limit of 2  | -1             | few     |
      | a limit of 2  | nan            | few     |
      | a limit of 2  | 3 and 9        | few     |

  Scenario: A limit ends with a response that names none
    Guards against a target that is spared for longer than it asked.

    Given a target that names a limit of 4 in its first 3 responses, and no other one
    When callers send 20 requests a second for 3 s that prefer the first target
    Then some requests of the first second are refused, and the last 20 are not

  Scenario: If all targets have reached their limits, requests are refused at once
    Guards against callers that wait for a target until their deadline passes.

    Given two targets that name a limit of 2 requests a second
    When 40 callers send requests at once after both have named it
    Then most are refused in half of the time that they would wait, and told when to return

  Scenario: A target that is down is checked no more often than its limit allows
    Guards against health checks that add to the requests of a target in need.

    Given a target that is down and answers health checks with a limit of 0
    When its health is checked for 3 s after the first response with a limit
    Then it got at most 2 health checks

  Scenario: Hosts tell each other when a target names a limit, and when that ends
    Guards against hosts that never hear of it, since they have no share and get no responses.

    Given two hosts that know a target
    When responses to one of them name a limit, the same limit, one half as high, and none
    Then the other one has each of them within 2 s, after 3 reports
    And a report on another incarnation, an unknown target or a number that is none changes nothing

  Scenario: A target that is cold and has a limit gets what both allow
    Guards against a limit that makes room for requests which a cold target cannot take.

    Given a target that is cold, or names a limit, or both
    When requests arrive as fast as it may get them for 4 s
    Then with both it gets no more than with either

  Scenario: A target that has started again has no limit
    Guards against a limit that outlasts the incarnation which named it.

    Given a target that names a limit of 0 to a host
    When its entry is removed and restored, and then replaced by that of another incarnation
    Then the limit is in force until the incarnation changes
