Feature: Hosts that lose their paths to targets

  Scenario Outline: A host that reaches no target serves its callers through its peers
    Guards against callers of a host without paths to targets being served less than others (RECOVER).

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When <hosts> lose all targets for 7 s, whose connections <fail>
    Then from 3 s after the cut callers there are served at least two thirds as often as at the others
    And in the 2 s after its end too
    And no request that is not idempotent ran twice or was called not run and ran

    Examples:
      | hosts                                  | fail       |
      | attiki-0 attiki-1                      | hang       |
      | attiki-0 attiki-1                      | refuse     |
      | attiki-0 attiki-1                      | reset      |
      | attiki-0 attiki-1                      | live on    |
      | attiki-0 attiki-2 attiki-4             | hang       |
      | attiki-0 attiki-1 attiki-2 attiki-3    | refuse     |

  Scenario Outline: A host that reaches few targets serves the others' callers through its peers
    Guards against callers who are refused since a host has no path to one service or most targets.

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When attiki-0 attiki-1 lose the targets <lost> for 6 s, whose connections <fail>
    Then from 3 s after the cut callers there are served at least two thirds as often as at the others
    And in the 2 s after its end too
    And no request that is not idempotent ran twice or was called not run and ran

    Examples:
      | lost               | fail   |
      | of one service     | hang   |
      | of two of 3 zones  | refuse |
      | and the store      | hang   |

  Scenario: Callers are refused at once while no host reaches any target
    Guards against callers that wait although it is known that their requests cannot be served.

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When all hosts lose all targets for 7 s, whose connections hang
    Then from 3 s after the cut each caller is refused within 0.3 s, and told when to come back
    And in the 2 s after its end callers are served

  Scenario: A cut that comes and goes leaves callers served
    Guards against hosts that trust each short return of their paths, or give up a peer with each loss.

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When attiki-0 attiki-1 lose all targets for 0.7 s of each 1.4 s, for 8 s
    Then from 3 s after the cut callers there are served at least two thirds as often as at the others
    And no request that is not idempotent ran twice or was called not run and ran

  Scenario: A peer dies while it serves callers of a host without paths
    Guards against requests that are lost or run twice when the second host of a request dies.

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When attiki-0 attiki-1 lose all targets for 8 s, and attiki-2 is killed in the midst
    Then from 3 s after the cut callers there are served at least two thirds as often as at the others
    And no request that is not idempotent ran twice or was called not run and ran
