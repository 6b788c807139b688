"""The policy's model of jobs, attempts and endpoints.

The engine and the policy each have their own objects for a job and its attempts. The engine's `Job` and
`Attempt` (`burlmoor.engine.job`) hold the client's connection, the payload and the final answer; the policy's
`ScheduledJob` and `ScheduledAttempt` hold estimates, priority and deadlines. Neither side refers to the
other's objects. They exchange the events and actions of `burlmoor/types`, which identify a job by its number
(`Job.number` is `ScheduledJob.id`) and an attempt by its number within the job.
"""
