package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dewlift/internal/httpjson"
	"dewlift/priorityclass"
	"dewlift/wire"
)

// loadPriorityClasses reads a file of priority classes, which the command line calls lanes.
func loadPriorityClasses(path string) (*priorityclass.List, error) {
	return loadFile(path, "lanes", priorityclass.Parse)
}

// requestQueue makes a request about the queue or the priority classes. A refusal by the controller is returned as a
// refusedError.
func requestQueue(
	cmd *cobra.Command,
	identity *clientIdentity,
	server, method, path string,
	body any,
) (queue wire.JobQueue, err error) {
	resp, err := identity.request(cmd.Context(), method, server, path, body)
	if err != nil {
		return queue, err
	}
	var refusal wire.Error
	if resp.Err == nil && resp.Status == http.StatusNotFound {
		if json.Unmarshal(resp.Body, &refusal) != nil || refusal.Error == "Not Found" {
			refusal.Error = "no lanes are configured at this site"
		}
		return queue, refusedError(refusal.Error)
	}
	queue, resp = httpjson.Decode[wire.JobQueue](resp)
	if resp.Err == nil && resp.Status != http.StatusOK {
		_ = json.Unmarshal(resp.Body, &refusal) // a refusal without a reason is reported by its status alone
		return queue, refusedError(fmt.Sprintf("status %d: %s", resp.Status, refusal.Error))
	}
	return queue, checkResponse(server, resp)
}

func priorityClassesCommand(identity *clientIdentity) *cobra.Command {
	var server string
	cmd := &cobra.Command{Use: "lanes", Short: "Check, show and replace the lanes (priority classes)"}
	cmd.PersistentFlags().
		StringVar(&server, "server", "127.0.0.1:8080",
			"address of a controller, or several addresses separated by commas")
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a lanes file and print how long jobs wait until they are ordered as in a higher lane",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			classes, err := loadPriorityClasses(args[0])
			if err != nil {
				return err
			}
			printPriorityClasses(cmd.OutOrStdout(), classes)
			return nil
		},
	}, &cobra.Command{
		Use: "show", Short: "Print the current lanes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			queue, err := requestQueue(cmd, identity, server, http.MethodGet, wire.PathPriorityClasses, nil)
			if err == nil {
				printf(cmd.OutOrStdout(), "%s", queue.PriorityClasses)
			}
			return err
		},
	}, &cobra.Command{
		Use:   "put FILE",
		Short: "Replace the lanes; jobs keep the lane in which they were accepted",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := loadPriorityClasses(args[0]); err != nil {
				return err
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("read lanes: %w", err)
			}
			queue, err := requestQueue(
				cmd,
				identity,
				server,
				http.MethodPost,
				wire.PathPriorityClasses,
				wire.JobQueue{PriorityClasses: string(raw)},
			)
			if err == nil {
				printf(cmd.OutOrStdout(), "lanes replaced, version %d\n", queue.Version)
			}
			return err
		},
	})
	return cmd
}

// printPriorityClasses prints, for each class, the highest class that its jobs reach by priority aging, and after how
// long a wait.
func printPriorityClasses(out io.Writer, classes *priorityclass.List) {
	const maxWait = 1 << 62 // in nanoseconds; longer than any job waits
	printf(out, "lanes are valid: %d\n", classes.Len())
	for i := range classes.Len() {
		highest := classes.EffectiveClass(i, maxWait)
		if wait, ok := classes.AgingTime(i, highest); ok && highest < i {
			printf(out, "  %s: after %s, jobs are ordered as in %s\n", classes.Name(i), wait, classes.Name(highest))
		} else {
			printf(out, "  %s: jobs stay in this lane\n", classes.Name(i))
		}
	}
}

func queueCommand(identity *clientIdentity) *cobra.Command {
	var server string
	var limit int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "queue",
		Short: "List the waiting jobs in scheduling order, and what each waits for",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			all, err := listQueue(cmd, identity, server, limit)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(out).Encode(all)
			}
			if err := printQueue(out, all.Jobs); err != nil {
				return err
			}
			printf(out, "%d jobs wait\n", all.Total)
			return nil
		},
	}
	cmd.Flags().
		StringVar(&server, "server", "127.0.0.1:8080",
			"address of a controller, or several addresses separated by commas")
	cmd.Flags().IntVar(&limit, "most", 1000, "maximum number of jobs to list")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// queuePageSize is the maximum number of jobs per request.
const queuePageSize = 100

// listQueue reads the first jobs of the queue, up to limit, page by page.
func listQueue(cmd *cobra.Command, identity *clientIdentity, server string, limit int) (all wire.JobQueue, err error) {
	for after := 0; ; {
		path := fmt.Sprintf("%s?after=%d&most=%d", wire.PathQueue, after, min(queuePageSize, limit-after))
		page, err := requestQueue(cmd, identity, server, http.MethodGet, path, nil)
		if err != nil {
			return all, err
		}
		all.Jobs, all.Total, all.Version = append(all.Jobs, page.Jobs...), page.Total, page.Version
		if after = page.NextOffset; after == 0 || after >= limit {
			return all, nil
		}
	}
}

// printQueue prints jobs as a table. It prints nothing if there are none.
func printQueue(out io.Writer, jobs []wire.QueuedJob) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, job := range jobs {
		if i == 0 {
			printf(table, "NUMBER\tJOB\tLANE\tCLASS\tTEAM\tTASKS\tASSIGNED\tWAITED\tFOR\n")
		}
		class := job.PriorityClass
		if job.EffectivePriorityClass != "" {
			class += " as " + job.EffectivePriorityClass
		}
		printf(table, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d s\t%s\n", job.Position, job.ID, class, job.Class, job.Team,
			job.Tasks, job.Assigned, job.WaitedS, job.WaitingFor)
	}
	return table.Flush()
}
