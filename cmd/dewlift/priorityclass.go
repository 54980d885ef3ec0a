package main

import (
	"dewlift/internal/httpjson"
	"dewlift/priorityclass"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// loadPriorityClasses reads a list of lanes.
func loadPriorityClasses(path string) (*priorityclass.List, error) {
	return loadFile(path, "lanes", priorityclass.Parse)
}

// requestQueue asks about the queue or the lanes; what is refused is a refusal.
func requestQueue(
	cmd *cobra.Command,
	me *clientIdentity,
	server, method, path string,
	body any,
) (q wire.JobQueue, err error) {
	r, err := me.request(cmd.Context(), method, server, path, body)
	if err != nil {
		return q, err
	}
	if r.Err == nil && r.Status == http.StatusNotFound {
		var e wire.Error
		if json.Unmarshal(r.Body, &e) != nil || e.Error == "Not Found" {
			e.Error = "this site has no lanes"
		}
		return q, refusedError(e.Error)
	}
	q, r = httpjson.Decode[wire.JobQueue](r)
	if r.Err == nil && r.Status != http.StatusOK {
		var e wire.Error
		_ = json.Unmarshal(r.Body, &e) // the status says the rest
		return q, refusedError(fmt.Sprintf("status %d: %s", r.Status, e.Error))
	}
	return q, checkResponse(server, r)
}

func priorityClassesCommand(me *clientIdentity) *cobra.Command {
	var server string
	cmd := &cobra.Command{Use: "lanes", Short: "Check, show and change which work goes ahead of which"}
	cmd.PersistentFlags().
		StringVar(&server, "server", "127.0.0.1:8080", "address of a controller, or of several, separated by commas")
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a list of lanes, and tell how long work waits at most until it goes ahead",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			l, err := loadPriorityClasses(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			printf(out, "lanes are valid: %d\n", l.Len())
			for i := range l.Len() {
				to := l.EffectiveClass(i, 1<<62)
				if d, ok := l.RiseTime(i, to); ok && to < i {
					printf(out, "  %s: after %s, work is ordered as in %s\n", l.Name(i), d, l.Name(to))
				} else {
					printf(out, "  %s: work stays in its lane\n", l.Name(i))
				}
			}
			return nil
		},
	}, &cobra.Command{
		Use: "show", Short: "Show the lanes in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := requestQueue(cmd, me, server, http.MethodGet, wire.PathPriorityClasses, nil)
			if err == nil {
				printf(cmd.OutOrStdout(), "%s", q.PriorityClasses)
			}
			return err
		},
	}, &cobra.Command{
		Use:   "put FILE",
		Short: "Put another list in force; jobs keep the lanes that they were accepted into",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := loadPriorityClasses(args[0]); err != nil {
				return err
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("read lanes: %w", err)
			}
			q, err := requestQueue(
				cmd,
				me,
				server,
				http.MethodPost,
				wire.PathPriorityClasses,
				wire.JobQueue{PriorityClasses: string(raw)},
			)
			if err == nil {
				printf(cmd.OutOrStdout(), "the lanes are in force, as version %d\n", q.Version)
			}
			return err
		},
	})
	return cmd
}

func queueCommand(me *clientIdentity) *cobra.Command {
	var server string
	var most int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "queue",
		Short: "List the jobs that wait, in the order of work, and what each waits for",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			all := wire.JobQueue{}
			for after := 0; ; {
				q, err := requestQueue(
					cmd,
					me,
					server,
					http.MethodGet,
					fmt.Sprintf("%s?after=%d&most=%d", wire.PathQueue, after, min(100, most-after)),
					nil,
				)
				if err != nil {
					return err
				}
				all.Jobs, all.Total, all.Version = append(all.Jobs, q.Jobs...), q.Total, q.Version
				if after = q.NextOffset; after == 0 || after >= most {
					break
				}
			}
			if asJSON {
				return json.NewEncoder(out).Encode(all)
			}
			for i, j := range all.Jobs {
				if i == 0 {
					printf(w, "NUMBER\tJOB\tLANE\tCLASS\tTEAM\tTASKS\tASSIGNED\tWAITED\tFOR\n")
				}
				lane := j.PriorityClass
				if j.EffectivePriorityClass != "" {
					lane += " as " + j.EffectivePriorityClass
				}
				printf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d s\t%s\n",
					j.Position, j.ID, lane, j.Class, j.Team, j.Tasks, j.Assigned, j.WaitedS, j.WaitingFor)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			printf(out, "%d jobs wait\n", all.Total)
			return nil
		},
	}
	cmd.Flags().
		StringVar(&server, "server", "127.0.0.1:8080", "address of a controller, or of several, separated by commas")
	cmd.Flags().IntVar(&most, "most", 1000, "how many are listed at most")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}
