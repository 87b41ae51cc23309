Feature: Idle connections are reused as long as targets keep them

  Scenario Outline: A target announces an idle timeout of <announced>
    Guards against requests that cross the end of a connection, and against new ones for most requests.

    When a target announces an idle timeout of <announced>
    Then connections are reused after up to <repeatable> s, for other requests up to <other> s

    Examples:
      | announced | repeatable | other |
      | nothing   | 6          | 1     |
      | 1 s       | 0          | 0     |
      | 2 s       | 0.9        | 0.6   |
      | 10 s      | 8.1        | 5.4   |

  Scenario: A request on a reused connection is reset
    Guards against further requests on connections that the target has dropped.

    When a connection is reset after 0.5 s without a request
    Then the idle time at this target is limited to less than that for 10 s
    And at the other targets to 1 s for 5 s, for requests that are not idempotent only

  Scenario: Requests that are not idempotent reuse connections
    Guards against a new connection for each of them.

    Given a target that announces an idle timeout of 10 s
    When two requests that are not idempotent are sent to it 1.5 s apart
    Then it has accepted one connection

  Scenario: Targets drop idle connections early
    Guards against one lost request after the other.

    Given two targets that drop connections after 0.2 s, but announce 10 s
    When 12 requests that are not idempotent are sent to them 0.3 s apart
    Then at most one of them for each target has no response

  Scenario: A target drops idle connections early and requests are idempotent
    Guards against attempts that are wasted on connections that were dropped.

    Given a target that drops connections after 0.2 s, but announces 10 s, and one that keeps them
    When 12 requests that are idempotent are sent to them 0.3 s apart
    Then all are answered
    And at most one of them needed a second attempt
