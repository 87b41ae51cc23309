Feature: Targets tell their load in their responses

  Scenario Outline: A target tells its load as "<text>"
    Guards against a load that is dropped whole because a target tells more than three figures: the
    host then knows nothing of the requests of other hosts.

    When a response tells the load "<text>"
    Then the host reads <load>

    Examples:
      | text              | load                                |
      | 3,0,8             | 3 running, 0 waiting, 8 slots, x1   |
      | 3,2,8,100         | 3 running, 2 waiting, 8 slots, x1   |
      | 3,2,8,250         | 3 running, 2 waiting, 8 slots, x2.5 |
      | 3, 2, 8, 80       | 3 running, 2 waiting, 8 slots, x0.8 |
      | 3,2,8,250,7       | 3 running, 2 waiting, 8 slots, x2.5 |
      | 3,2,8,            | 3 running, 2 waiting, 8 slots, x1   |
      | 3,2,8,fast        | 3 running, 2 waiting, 8 slots, x1   |
      | 3,2,8,-5          | 3 running, 2 waiting, 8 slots, x1   |
      | 3,2,8,0           | 3 running, 2 waiting, 8 slots, x1   |
      | 3,2,8,1e999       | 3 running, 2 waiting, 8 slots, x1   |
      | 3,2               | nothing                             |
      | a,b,c,100         | nothing                             |
