Feature: An invalid declaration is rejected with the path of each error

  Scenario Outline: Validation reports an invalid value
    Given a valid declaration
    When <path> is set to <value>
    Then the fault "<fault>" is reported

    Examples:
      | path                                | value                                                        | fault                                                                                       |
      | services.diary.targets.0.slots      | 0                                                            | $.services.diary.targets[0].slots: less than 1 (minimum)                                    |
      | services.diary.colour               | 1                                                            | $.services.diary.colour: unexpected property                                                |
      | services.diary.targets              | []                                                           | $.services.diary.targets: item count lower than 1 (minItems)                                |
      | services.bookings.depends_on        | {"diary": 1}                                                 | $.services.bookings.depends_on: dependency cycle bookings -> diary -> bookings              |
      | services.diary.weights              | {"makedonia": 1}                                             | $.services.diary.weights.makedonia: the service has no target in this region                |
      | services.diary.shift_cap            | {"fraction": 0.0001, "per_s": 60}                            | $.services.diary.shift_cap: a full move takes 600000 s, allowed: at most 86400              |
      | services.diary.targets.0.address    | "localhost:1"                                                | $.services.diary.targets[0].address: 'localhost:1' is not an IP number with a port          |
      | services.diary.targets.0.availability_zone | "attiki-z"                                            | $.services.diary.targets[0].availability_zone: unknown availability zone attiki-z           |
      | services.diary.routes               | [{"methods": ["GET"]}, {"methods": ["GET"], "idempotent": true}] | $.services.diary.routes[1]: GET / is also in routes[0]                                  |

  Scenario: A text that is not JSON is rejected with a validation error
    When the text "{" is read as a declaration
    Then the fault "$: not valid JSON" is reported
