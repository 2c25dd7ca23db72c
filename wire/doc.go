// Package wire owns the public message formats of wheatspur: the CBOR bodies
// that users, workers, the cloud and the key-value store exchange with the
// controllers. It owns no behaviour beyond encoding, decoding and checking the
// form of a submitted job; whether a job can run is decided by package jobs, and
// the records in the key-value store belong to the packages that write them.
// Clients may import it; nothing in it depends on the rest of the program.
//
// Names in Go are the field's terms. The protocol has words of its own, which
// stand in the cbor and json tags, in the values of constants and in texts for
// users, and nowhere else. This table maps them, once.
//
//	protocol   Go                   what it is
//	apart      SpreadZones          tasks of the job go to different zones
//	awaits     DependsOn            jobs that must be done first (DAG dependencies)
//	baton      FencingToken         fencing token of the controller that sends or renews
//	bundle     Image                image that a task runs
//	cards      GPUs                 GPUs of a task or of a machine
//	cause      ExitCause            why an attempt ended
//	cohort     Class                class of jobs with a common service-level objective
//	crew       Team                 team that a job counts against
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
//	leeway_s   GracePeriodS         time between a kill's warning and its end
//	number     Count                machines to add
//	orders     Commands             commands to a worker
//	pairs      KeyValues            keys of the store with their values
//	phase      State                state of a job, of a task or of a machine
//	plot       Zone                 zone
//	plots      Zones                zones
//	rank       Priority             priority of a job
//	reckon_s   EstimateS            run time as the user estimates it
//	ref        ID, Name             job id; name of a machine in the cloud's list
//	rig        MachineType          machine type
//	rigs       MachineTypes, Types  machine types that a job allows; that the cloud has
//	saved      Checkpointed         the attempt has written a checkpoint
//	set        Put                  key that an operation puts
//	shape      Kind                 array, service or gang
//	shard      Task                 task, as "job id/number"
//	shards     Tasks                number of a job's tasks; tasks on a machine
//	stake_s    CheckpointIntervalS  time between checkpoints
//	stamp      Version              version of a key
//	stash_s    CheckpointWriteS     time that it takes to write a checkpoint
//	stint      Incarnation          incarnation of a worker
//	tally      Sequence             number of a heartbeat within its incarnation
//	tenure     ID, LeaseID          lease of the key-value store
//	then       Operations           operations of a compare-and-swap transaction
//	together   SameZone             tasks of the job go to one zone
//	try        Attempt              attempt of a task
//	v          Value                value of a key
//	warning_s  TerminationNoticeS   time until the cloud terminates a spot machine
//	windfall   Spot                 spot machine, or a job that may run on one
//
// All other tags are the Go name in snake case. Values of constants that
// differ from their names:
//
//	standing   KindService          service: its tasks run until it is cancelled
//	flushing   TaskCheckpointing    a task that writes its last checkpoint
package wire
