Feature: A host explains where a request would go now, without sending it

  Scenario: The explanation names the target that the request then goes to
    Guards against an explanation by other rules than those that serve requests.

    Given a host with 6 targets, of which one names a limit, one leaves and one does not accept connections
    When each of 40 requests is explained and then sent
    Then each went to the target that was named

  Scenario: An explanation leaves no trace
    Guards against an operator's question that takes a token, moves a counter or counts as demand.

    Given a host with 6 targets, of which one names a limit, one leaves and one does not accept connections
    When 50 requests are explained
    Then the targets got no request, and limits, objects, budgets and metrics are as before

  Scenario Outline: A request that would be rejected because <cause>
    Guards against an explanation that leaves out why no target is chosen.

    When a request is explained by a host <cause>
    Then the explanation says "<code>"

    Examples:
      | cause                                  | code                 |
      | without a manifest                     | not_ready            |
      | whose manifest has no route for it     | unknown_route        |
      | that asks for a key which it lacks     | unknown_key          |
      | that cannot confirm its manifest       | manifest_unconfirmed |
      | without targets                        | no_target            |

  Scenario: The command prints the decision
    Guards against a command that does not reach the page of a host.

    Given an entry host with a target
    When the operator runs explain for a route of its manifest
    Then it prints the route and the target, and exits with 0
