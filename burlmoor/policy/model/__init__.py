"""What the policy stores of a job, of an attempt and of an endpoint.

A job and an attempt exist twice in a node. `burlmoor.engine.job` has the engine's `Job` and `Attempt`: the
client's connection, the payload and the final answer. `ScheduledJob` and `ScheduledAttempt` here are the
policy's: estimates, priority and deadlines. Neither side holds the other's objects. They exchange the events
and actions of `burlmoor/types`, in which a job is named by its number (`Job.number` is `ScheduledJob.id`) and
an attempt by its number within the job.
"""
