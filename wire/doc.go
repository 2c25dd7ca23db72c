// Package wire defines the public message formats of wheatspur: the CBOR bodies that users, workers,
// the cloud and the key-value store exchange with the controllers. It only encodes and decodes them
// and checks the form of a submitted job. Package jobs decides whether a job can run, and the records
// in the key-value store belong to the packages that write them. Clients may import this package; it
// does not depend on the rest of the program.
//
// Go names use the common terms of cluster scheduling. The protocol has its own terms, which appear
// only in cbor and json tags, in the values of constants and in texts for users. This table is the
// only mapping between the two:
//
//	protocol   Go                   meaning
//	apart      SpreadZones          tasks of the job are spread over zones
//	awaits     DependsOn            jobs that must be done before this one starts (DAG dependencies)
//	baton      FencingToken         controller's fencing token, sent with commands and lease renewals
//	bundle     Image                image that a task runs
//	cards      GPUs                 GPUs of a task or of a machine
//	cause      ExitCause            why an attempt exited
//	cohort     Class                class of jobs with a common service-level objective
//	crew       Team                 team whose quota the job uses
//	drop       Delete               key that an operation deletes
//	due_s      DeadlineS            deadline, from acceptance
//	epoch      Revision             revision of the key-value store
//	failed     FailedCompares       keys whose compare failed
//	foreman    Controller           controller that handles a worker's heartbeats
//	guards     Compares             compares of a compare-and-swap transaction
//	held_s     AgeS                 time since the machine was added to the cluster
//	hire       Name                 name of a scale-out request
//	host       Machine              machine that a worker runs on
//	hosts      Machines             machines
//	leeway_s   GracePeriodS         grace period of a kill, to write a last checkpoint
//	number     Count                machines to add
//	orders     Commands             commands to a worker
//	pairs      KeyValues            keys of the key-value store with their values
//	phase      State                state of a job, of a task or of a machine
//	plot       Zone                 zone
//	plots      Zones                zones
//	rank       Priority             priority of a job
//	reckon_s   EstimateS            run time estimated by the user
//	ref        ID, Name             job ID; name of a machine in the cloud's list
//	rig        MachineType          machine type
//	rigs       MachineTypes, Types  machine types that a job allows; machine types that the cloud offers
//	saved      Checkpointed         the attempt has written a checkpoint
//	set        Put                  key that an operation puts
//	shape      Kind                 kind of job: array, service or gang
//	shard      Task                 task, as "job ID/number"
//	shards     Tasks                number of tasks of a job; tasks on a machine
//	stake_s    CheckpointIntervalS  time between checkpoints
//	stamp      Version              version of a key
//	stash_s    CheckpointWriteS     time to write a checkpoint
//	stint      Incarnation          incarnation of a worker
//	tally      Sequence             sequence number of a heartbeat within its incarnation
//	tenure     ID, LeaseID          lease of the key-value store
//	then       Operations           operations of a compare-and-swap transaction
//	together   SameZone             all tasks of the job go to one zone
//	try        Attempt              attempt of a task
//	v          Value                value of a key
//	warning_s  TerminationNoticeS   time until the cloud terminates a spot machine
//	windfall   Spot                 spot machine, or a job that may run on one
//
// All other tags are the Go name in snake case. Values of constants that differ from their names:
//
//	standing   KindService          service job, whose tasks run until it is cancelled
//	flushing   TaskCheckpointing    task that is writing its last checkpoint
package wire
