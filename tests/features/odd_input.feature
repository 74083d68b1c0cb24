Feature: Odd messages are refused at the boundary, and end nothing

  Scenario Outline: Odd <kind> are refused with their codes
    Then each odd <kind> is refused with code <code> or another one of bad input

    Examples:
      | kind       | code |
      | jobs       | 203  |
      | heartbeats | 203  |

  Scenario: Odd configurations are refused as invalid
    Then each odd configuration is refused with code 601

  Scenario: Odd replies of workers are failed calls
    Then each odd reply to a renewal is a failed call with code 201
    And very deeply nested replies to starts and of the advisor are failed calls

  Scenario: Names of workers that no header can hold are refused
    Then heartbeats and shutdowns of a worker named "a\r\nb" are refused with code 204

  Scenario: The longest chain of a job with many dependencies is found at once
    When the critical path of 256 steps that all depend on each other is computed
    Then it takes less than 0.1 seconds and has the length of all steps

  Scenario Outline: Random <kind> are refused or can be stored, seed <seed>
    When <examples> random messages like <kind> are decoded from seed <seed>
    Then each is refused with a code of bad input, or can be stored and used

    Examples:
      | kind       | examples | seed |
      | jobs       | 600      | 1    |
      | configs    | 600      | 2    |
      | heartbeats | 600      | 3    |
      | replies    | 600      | 4    |
      | advice     | 300      | 5    |
      | contracts     | 400      | 6    |
      | announcements | 400      | 7    |

  Scenario: A record that cannot be stored is refused before it has an effect
    Given a leader of a cell with one target
    When it decides on a record with a number of 70 bits
    Then the record is refused with code 211, and neither state nor log has it

  Scenario: A request that cannot be stored is refused before it is sent
    When a process asks the leader with a number of 70 bits
    Then the request is refused with code 211 and was not sent

  Scenario: A message that cannot be encoded is left out, and the link goes on
    When a message with a number of 70 bits is sent between two others
    Then the others arrive on the same link

  Scenario: A message that cannot be read is left out, and the link goes on
    When a message of an unknown tag is sent between two others
    Then the others arrive on the same link

  Scenario: A step whose placement fails does not keep others from starting
    Given a leader of a cell with one target
    When the placement of the first of two steps raises an error
    Then the other step is placed, and the log names the first one

  Scenario: A turn that fails ends the leadership, not the process
    Given a leader of a cell with one target
    When a turn of its process raises an error
    Then the process goes on, and its state is that of the committed log
