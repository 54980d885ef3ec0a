package main

import (
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// jobCommands makes the commands about jobs.
type jobCommands struct {
	identity *clientIdentity
	server   string
	asJSON   bool
}

// request asks a controller about a job; what it refuses is a refusal.
func (j *jobCommands) request(cmd *cobra.Command, method, path string, body any) (s wire.JobState, err error) {
	r, err := j.identity.request(cmd.Context(), method, j.server, path, body)
	if err != nil {
		return s, err
	}
	if r.Err != nil {
		return s, fmt.Errorf("controller %s: %w", j.server, r.Err)
	}
	if r.Status != http.StatusOK && r.Status != http.StatusCreated {
		return s, refusedError(fmt.Sprintf("status %d: %s", r.Status, refusalReason(r)))
	}
	if err := json.Unmarshal(r.Body, &s); err != nil {
		return s, fmt.Errorf("answer not understood: %w", err)
	}
	return s, nil
}

func (j *jobCommands) print(out io.Writer, s *wire.JobState) error {
	if j.asJSON {
		return json.NewEncoder(out).Encode(s)
	}
	printf(out, "%s: %s, %d done, %d running\n", s.ID, s.Stage, s.Done, s.Running)
	if s.Note != "" {
		printf(out, "  %s\n", s.Note)
	}
	if s.DependencyCount > 0 {
		printf(out, "  waits for %d jobs: %s\n", s.DependencyCount, strings.Join(s.Dependencies, " "))
	}
	if s.CancelledBy != "" {
		printf(out, "  cancelled with %s, which it needs\n", s.CancelledBy)
	}
	for _, w := range s.TaskStops {
		printf(out, "  task %d stopped on %s at %s: %s\n",
			w.Task, w.Machine, time.UnixMilli(w.AtMS).UTC().Format(time.RFC3339), w.Cause)
	}
	return nil
}

// subcommand makes a command about one job by its id.
func (j *jobCommands) subcommand(use, short string, do func(cmd *cobra.Command, id string) error) *cobra.Command {
	return &cobra.Command{
		Use: use + " ID", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !wire.ValidJobID(args[0]) {
				return fmt.Errorf("not a job id: %q", args[0])
			}
			return do(cmd, args[0])
		},
	}
}

func jobCommand(me *clientIdentity) *cobra.Command {
	j := &jobCommands{identity: me}
	job := &cobra.Command{Use: "job", Short: "Submit jobs, look at them and withdraw them"}
	job.PersistentFlags().
		StringVar(&j.server, "server", "127.0.0.1:8080", "address of a controller, or of several, separated by commas")
	job.PersistentFlags().BoolVar(&j.asJSON, "json", false, "as JSON")
	job.AddCommand(j.submit(), j.wait(),
		j.subcommand("get", "Show a job and why its tasks stopped", func(cmd *cobra.Command, id string) error {
			s, err := j.request(cmd, http.MethodGet, wire.PathJobs+"/"+id, nil)
			if err != nil {
				return err
			}
			return j.print(cmd.OutOrStdout(), &s)
		}),
		j.subcommand("why", "Tell in words why a job waits", func(cmd *cobra.Command, id string) error {
			q, err := requestQueue(cmd, j.identity, j.server, http.MethodGet, wire.PathQueue+"/"+id, nil)
			if err != nil || len(q.Jobs) == 0 {
				return err
			}
			x := q.Jobs[0]
			if j.asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(x)
			}
			printf(cmd.OutOrStdout(), "%s is number %d of %d in the queue, in lane %s, since %d s: %s\n",
				x.ID, x.Position, q.Total, x.PriorityClass, x.WaitedS, x.Explanation)
			return nil
		}),
		j.subcommand("cancel", "Withdraw a job", func(cmd *cobra.Command, id string) error {
			s, err := j.request(cmd, http.MethodPost, wire.PathJobs+"/"+id+"/withdraw", struct{}{})
			if err != nil {
				return err
			}
			return j.print(cmd.OutOrStdout(), &s)
		}))
	return job
}

func (j *jobCommands) submit() *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job that a file describes as JSON; - is standard input",
		Args:  cobra.ExactArgs(1),
		Long:  "The file holds the body of a submission. Submitted again, it is answered with the job's state.",
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			var raw []byte
			if args[0] == "-" {
				raw, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), wire.MaxBodyBytes+1))
			} else {
				raw, err = os.ReadFile(args[0])
			}
			if err != nil {
				return fmt.Errorf("read job: %w", err)
			}
			if _, err := wire.ParseSubmission(raw); err != nil {
				return fmt.Errorf("job %s: %w", args[0], err)
			}
			s, err := j.request(cmd, http.MethodPost, wire.PathJobs, json.RawMessage(raw))
			if err != nil {
				return err
			}
			return j.print(cmd.OutOrStdout(), &s)
		},
	}
}

const jobPollInterval = time.Second // between two looks at a job

func (j *jobCommands) wait() *cobra.Command {
	var most time.Duration
	cmd := j.subcommand(
		"wait",
		"Wait until a job is done; exit code 1 if it is cancelled or not done in time",
		func(cmd *cobra.Command, id string) error {
			// One that can't be answered now may be in a moment: it is asked for until the time is over.
			for end := time.Now().Add(most); ; {
				s, err := j.request(cmd, http.MethodGet, wire.PathJobs+"/"+id, nil)
				switch {
				case err == nil && s.Stage == wire.StageDone:
					return j.print(cmd.OutOrStdout(), &s)
				case err == nil && s.Stage == wire.StageCancelled:
					return refusedError(id + " is cancelled")
				case time.Now().After(end) && err != nil:
					return err
				case time.Now().After(end):
					return refusedError(fmt.Sprintf("%s is %s after %s", id, s.Stage, most))
				}
				select {
				case <-cmd.Context().Done():
					return cmd.Context().Err()
				case <-time.After(jobPollInterval):
				}
			}
		},
	)
	cmd.Flags().DurationVar(&most, "for", 10*time.Minute, "how long it is waited for")
	return cmd
}
