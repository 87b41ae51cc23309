Feature: Survivors of a large loss stop naming the lost hosts

  Scenario Outline: <survivors> of <size> hosts survive and the others <fail>
    Guards against look-ups that name lost hosts for good because too few observers are left to
    agree on their loss (review/1).

    Given a platform fleet of <size> hosts
    When all but <survivors> of them <fail>
    Then no survivor names a lost host 6 s later
    And every survivor names all survivors

    Examples:
      | size | survivors | fail       |
      | 3    | 1         | die        |
      | 3    | 1         | lose power |
      | 3    | 2         | lose power |
      | 9    | 1         | die        |
      | 9    | 1         | lose power |
      | 9    | 2         | die        |
      | 9    | 2         | lose power |
      | 9    | 3         | die        |
      | 9    | 3         | lose power |
      | 72   | 1         | die        |
      | 72   | 1         | lose power |
      | 72   | 2         | lose power |
      | 72   | 3         | die        |
      | 72   | 36        | lose power |

  Scenario Outline: A host that is cut off from all others and from the store, in a fleet of <size>
    Guards against a host that takes the loss of its own network for the loss of all others and
    draws their callers to itself.

    Given a platform fleet of <size> hosts
    When one host is cut off from the others and from the store for 60 s
    Then that host never took another one for gone
    And every host names all hosts within 6 s

    Examples:
      | size |
      | 3    |
      | 9    |
      | 72   |

  Scenario Outline: A host that is cut off from all others but reaches the store, in a fleet of <size>
    Guards against taking an answer of the store for proof that the others are lost.

    Given a platform fleet of <size> hosts
    When one host is cut off from the others for 60 s
    Then that host never took another one for gone
    And every host names all hosts within 6 s

    Examples:
      | size |
      | 3    |
      | 9    |

  Scenario: The store is away while all other hosts are lost
    Guards against a decision without any evidence that the last host's own network works, and
    against one that is not made up for when the store is back.

    Given a platform fleet of 9 hosts
    When the store is away and all but 1 of them lose power
    Then the survivor has taken no host for gone 30 s later
    When the store is back
    Then no survivor names a lost host 6 s later

  Scenario Outline: All but <survivors> of <size> hosts freeze for a time, twice
    Guards against hosts that stay out of look-ups after a freeze.

    Given a platform fleet of <size> hosts
    When all but <survivors> of them freeze for 6 s, twice
    Then every host names all hosts within 6 s

    Examples:
      | size | survivors |
      | 3    | 1         |
      | 9    | 1         |
      | 9    | 2         |
      | 72   | 3         |

  Scenario: The last host itself freezes
    Guards against a host that takes its own freeze for the silence of all others.

    Given a platform fleet of 3 hosts
    When one host freezes for 20 s
    Then that host never took another one for gone
    And every host names all hosts within 6 s

  Scenario: The last host reaches no targets
    Guards against a host that serves nobody and names only itself.

    Given a platform fleet of 3 hosts
    When one host reaches few targets and all others lose power
    Then the survivor has taken no host for gone 30 s later
