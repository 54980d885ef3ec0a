package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dewlift/wire"
)

// jobCommands holds the flags shared by the job commands.
type jobCommands struct {
	identity *clientIdentity
	server   string
	asJSON   bool
}

// request makes a request about a job. A refusal by the controller is returned as a refusedError.
func (j *jobCommands) request(
	cmd *cobra.Command,
	method, path string,
	body any,
) (state wire.JobState, err error) {
	resp, err := j.identity.request(cmd.Context(), method, j.server, path, body)
	if err != nil {
		return state, err
	}
	if resp.Err != nil {
		return state, fmt.Errorf("controller %s: %w", j.server, resp.Err)
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusCreated {
		return state, refusedError(fmt.Sprintf("status %d: %s", resp.Status, refusalReason(resp)))
	}
	if err := json.Unmarshal(resp.Body, &state); err != nil {
		return state, fmt.Errorf("invalid response: %w", err)
	}
	return state, nil
}

// print writes the state of a job, as text or as JSON.
func (j *jobCommands) print(out io.Writer, state *wire.JobState) error {
	if j.asJSON {
		return json.NewEncoder(out).Encode(state)
	}
	printf(out, "%s: %s, %d done, %d running\n", state.ID, state.Stage, state.Done, state.Running)
	if state.Note != "" {
		printf(out, "  %s\n", state.Note)
	}
	if state.DependencyCount > 0 {
		printf(out, "  waits for %d jobs: %s\n", state.DependencyCount, strings.Join(state.Dependencies, " "))
	}
	if state.CancelledBy != "" {
		printf(out, "  cancelled because it depends on %s, which is cancelled\n", state.CancelledBy)
	}
	for _, stop := range state.TaskStops {
		printf(out, "  task %d stopped on %s at %s: %s\n",
			stop.Task, stop.Machine, time.UnixMilli(stop.AtMS).UTC().Format(time.RFC3339), stop.Cause)
	}
	return nil
}

// subcommand returns a command whose argument is a job ID.
func (j *jobCommands) subcommand(use, short string, do func(cmd *cobra.Command, id string) error) *cobra.Command {
	return &cobra.Command{
		Use: use + " ID", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !wire.ValidJobID(args[0]) {
				return fmt.Errorf("not a job ID: %q", args[0])
			}
			return do(cmd, args[0])
		},
	}
}

func jobCommand(identity *clientIdentity) *cobra.Command {
	j := &jobCommands{identity: identity}
	cmd := &cobra.Command{Use: "job", Short: "Submit, inspect and cancel jobs"}
	cmd.PersistentFlags().
		StringVar(&j.server, "server", "127.0.0.1:8080",
			"address of a controller, or several addresses separated by commas")
	cmd.PersistentFlags().BoolVar(&j.asJSON, "json", false, "print JSON")
	cmd.AddCommand(j.submit(), j.wait(),
		j.subcommand("get", "Show a job and why its tasks stopped", func(cmd *cobra.Command, id string) error {
			state, err := j.request(cmd, http.MethodGet, wire.PathJobs+"/"+id, nil)
			if err != nil {
				return err
			}
			return j.print(cmd.OutOrStdout(), &state)
		}),
		j.subcommand("why", "Explain why a job is waiting", func(cmd *cobra.Command, id string) error {
			queue, err := requestQueue(cmd, j.identity, j.server, http.MethodGet, wire.PathQueue+"/"+id, nil)
			if err != nil || len(queue.Jobs) == 0 {
				return err
			}
			job := queue.Jobs[0]
			if j.asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(job)
			}
			printf(cmd.OutOrStdout(), "%s is number %d of %d in the queue, in lane %s, and has waited for %d s: %s\n",
				job.ID, job.Position, queue.Total, job.PriorityClass, job.WaitedS, job.Explanation)
			return nil
		}),
		j.subcommand("cancel", "Cancel a job", func(cmd *cobra.Command, id string) error {
			state, err := j.request(cmd, http.MethodPost, wire.PathJobs+"/"+id+"/withdraw", struct{}{})
			if err != nil {
				return err
			}
			return j.print(cmd.OutOrStdout(), &state)
		}))
	return cmd
}

// submit returns the command that submits a job.
func (j *jobCommands) submit() *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job from a JSON file, or from standard input if FILE is -",
		Args:  cobra.ExactArgs(1),
		Long:  "FILE contains the body of a submission request. Submitting a job again returns its current state.",
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
			state, err := j.request(cmd, http.MethodPost, wire.PathJobs, json.RawMessage(raw))
			if err != nil {
				return err
			}
			return j.print(cmd.OutOrStdout(), &state)
		},
	}
}

// jobPollInterval is the time between two requests for the state of a job.
const jobPollInterval = time.Second

// wait returns the command that waits until a job is done.
func (j *jobCommands) wait() *cobra.Command {
	var timeout time.Duration
	cmd := j.subcommand(
		"wait",
		"Wait until a job is done; the exit code is 1 if it is cancelled or does not finish in time",
		func(cmd *cobra.Command, id string) error {
			// A controller may be unavailable for a short time, so an error ends the wait only after the timeout.
			for end := time.Now().Add(timeout); ; {
				state, err := j.request(cmd, http.MethodGet, wire.PathJobs+"/"+id, nil)
				switch {
				case err == nil && state.Stage == wire.StageDone:
					return j.print(cmd.OutOrStdout(), &state)
				case err == nil && state.Stage == wire.StageCancelled:
					return refusedError(id + " is cancelled")
				case time.Now().After(end) && err != nil:
					return err
				case time.Now().After(end):
					return refusedError(fmt.Sprintf("%s is still %s after %s", id, state.Stage, timeout))
				}
				select {
				case <-cmd.Context().Done():
					return cmd.Context().Err()
				case <-time.After(jobPollInterval):
				}
			}
		},
	)
	cmd.Flags().DurationVar(&timeout, "for", 10*time.Minute, "how long to wait")
	return cmd
}
