package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dewlift/access"
	"dewlift/internal/httpjson"
	"dewlift/wire"
)

const (
	// tokenLifetime is how long a token that a command signs for itself is valid.
	tokenLifetime  = 5 * time.Minute
	requestTimeout = 5 * time.Second
	// maxResponseBytes bounds a response to a command.
	maxResponseBytes = 16 << 20
)

// clientIdentity holds the files by which a command proves its caller's identity and trusts controllers.
type clientIdentity struct{ keyFile, caFile, certificateFile, certificateKeyFile string }

func (identity *clientIdentity) addFlags(f *pflag.FlagSet) {
	f.StringVar(&identity.keyFile, "key", os.Getenv("DEWLIFT_KEY"), "a private key, to prove who asks")
	f.StringVar(&identity.caFile, "ca",
		os.Getenv("DEWLIFT_CA"), "authorities of controllers' certificates (PEM): TLS is used")
	f.StringVar(&identity.certificateFile, "certificate",
		os.Getenv("DEWLIFT_CERTIFICATE"), "a certificate, to prove who asks (PEM)")
	f.StringVar(&identity.certificateKeyFile, "certificate-key", os.Getenv("DEWLIFT_CERTIFICATE_KEY"), "its key (PEM)")
}

// request makes a request to a controller or, of several separated by commas, to the first that is
// available. Requests must be idempotent: a controller that does not answer may have executed one.
func (identity *clientIdentity) request(
	ctx context.Context,
	method, servers, path string,
	body any,
) (resp httpjson.Response, err error) {
	for server := range strings.SplitSeq(servers, ",") {
		resp, err = identity.requestOne(ctx, method, strings.TrimPrefix(server, "http://"), path, body)
		if err != nil || resp.Err == nil && resp.Status != http.StatusServiceUnavailable {
			return resp, err
		}
	}
	return resp, err
}

func (identity *clientIdentity) requestOne(
	ctx context.Context,
	method, server, path string,
	body any,
) (httpjson.Response, error) {
	client, scheme := httpjson.New(1, 1, maxResponseBytes), "http://"
	if identity.keyFile != "" {
		key, err := loadKey(identity.keyFile)
		if err != nil {
			return httpjson.Response{}, err
		}
		if client.Token, err = key.SignToken(time.Now(), tokenLifetime); err != nil {
			return httpjson.Response{}, err
		}
	}
	if identity.caFile != "" {
		raw, err := os.ReadFile(identity.caFile)
		if err != nil {
			return httpjson.Response{}, fmt.Errorf("read authorities: %w", err)
		}
		cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
		if !cfg.RootCAs.AppendCertsFromPEM(raw) {
			return httpjson.Response{}, fmt.Errorf("no certificate in %s", identity.caFile)
		}
		if identity.certificateFile != "" {
			pair, err := tls.LoadX509KeyPair(identity.certificateFile, identity.certificateKeyFile)
			if err != nil {
				return httpjson.Response{}, fmt.Errorf("certificate: %w", err)
			}
			cfg.Certificates = []tls.Certificate{pair}
		}
		client.UseTLS(cfg)
		scheme = "https://"
	}
	return client.Do(ctx, requestTimeout, method, scheme+server+path, body), nil
}

func loadKey(path string) (*access.PrivateKey, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	key, err := access.ParsePrivateKey(raw)
	if err != nil {
		return nil, fmt.Errorf("key %s: %w", path, err)
	}
	return key, nil
}

// loadPermissions reads a policy that can be put in force: one with an administrator.
func loadPermissions(path string) (*access.Policy, error) {
	policy, err := parsePermissions(path)
	if err == nil && !policy.HasAdministrator() {
		return nil, fmt.Errorf("access %s: nobody with a key may administer: rights could never be changed", path)
	}
	return policy, err
}

func parsePermissions(path string) (*access.Policy, error) {
	return loadFile(path, "access", access.Parse)
}

// loadFile reads and parses an operators' file; what names it in errors.
func loadFile[T any](path, what string, parse func([]byte) (T, error)) (v T, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return v, fmt.Errorf("read %s: %w", what, err)
	}
	if v, err = parse(raw); err != nil {
		return v, fmt.Errorf("%s %s: %w", what, path, err)
	}
	return v, nil
}

func accessCommand(identity *clientIdentity) *cobra.Command {
	cmd := &cobra.Command{Use: "access", Short: "Check, explain and change who may do what"}
	cmd.AddCommand(&cobra.Command{
		Use: "check FILE", Short: "Check a file of rights", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			policy, err := loadPermissions(args[0])
			if err != nil {
				return err
			}
			roles, identities, keys := policy.Counts()
			printf(cmd.OutOrStdout(), "rights are valid: %d roles, %d identities, %d keys\n", roles, identities, keys)
			return nil
		},
	}, explainCommand(), showPermissionsCommand(identity), grantCommand(identity), revokeCommand(identity))
	return cmd
}

func explainCommand() *cobra.Command {
	var identity, verb, team, class, priority string
	var asJSON bool
	cmd := &cobra.Command{
		Use: "explain FILE", Short: "Tell which grant decides", Args: cobra.ExactArgs(1),
		Example: "  dewlift access explain access.textproto --who packer --verb cancel --team roastmasters " +
			"--class reroast-rush",
		RunE: func(cmd *cobra.Command, args []string) error {
			policy, err := parsePermissions(args[0])
			if err != nil {
				return err
			}
			parsedVerb, ok := access.ParseVerb(verb)
			if !ok {
				return fmt.Errorf("--verb: no verb %q", verb)
			}
			priorityIndex, ok := wire.Priority(priority)
			if !ok {
				return fmt.Errorf("--priority: no priority %q", priority)
			}
			action := access.Action{Verb: parsedVerb, Team: team, Class: class, Priority: priorityIndex}
			decision := policy.Decide(identity, action)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(decision)
			}
			permission := "may not"
			if decision.Allowed {
				permission = "may"
			}
			printf(cmd.OutOrStdout(), "%s %s %s: %s\n", identity, permission, verb, decision.Reason)
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&identity, "who", "", "the identity")
	f.StringVar(&verb, "verb", "", "submit, read, cancel, prioritise, administer, audit, report, book or equip")
	f.StringVar(&team, "team", "", "the job's team")
	f.StringVar(&class, "class", "", "the job's class")
	f.StringVar(&priority, "priority", wire.PriorityName(wire.PriorityStandard), "of a submission")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// editPermissions changes the permissions of an identity.
func editPermissions(
	ctx context.Context,
	identity *clientIdentity,
	server, target string,
	edit wire.PermissionsEdit,
) (*wire.PermissionsEditResult, error) {
	if identity.keyFile == "" && identity.certificateFile == "" {
		return nil, errors.New("--key FILE or --certificate FILE is needed: rights are changed in somebody's name")
	}
	resp, err := identity.request(ctx, http.MethodPost, server, wire.PathPermissions+"/"+target, edit)
	if err != nil {
		return nil, err
	}
	result, resp := httpjson.Decode[wire.PermissionsEditResult](resp)
	return &result, checkResponse(server, resp)
}

// checkResponse returns an error if no response came or the request was refused.
func checkResponse(server string, resp httpjson.Response) error {
	switch {
	case resp.Err != nil:
		return fmt.Errorf("controller %s: %w", server, resp.Err)
	case resp.Status != http.StatusOK:
		return fmt.Errorf("controller %s answers %d: %s", server, resp.Status, refusalReason(resp))
	}
	return nil
}

// refusalReason returns the reason that a controller gives for a refusal.
func refusalReason(resp httpjson.Response) string {
	var refusal wire.Error
	if json.Unmarshal(resp.Body, &refusal) != nil || refusal.Error == "" {
		return http.StatusText(resp.Status)
	}
	return refusal.Error
}

func showPermissionsCommand(identity *clientIdentity) *cobra.Command {
	var server string
	cmd := &cobra.Command{
		Use: "show", Short: "Show the rights in force, as a file of rights", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := identity.request(cmd.Context(), http.MethodGet, server, wire.PathPermissions, nil)
			if err != nil {
				return err
			}
			out, resp := httpjson.Decode[wire.Permissions](resp)
			if err := checkResponse(server, resp); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s", out.Text)
			return nil
		},
	}
	addServerFlag(cmd, &server)
	return cmd
}

func addServerFlag(cmd *cobra.Command, server *string) {
	cmd.Flags().StringVar(server, "server", "127.0.0.1:8080", "address of a controller")
}

func grantCommand(identity *clientIdentity) *cobra.Command {
	var server string
	var edit wire.PermissionsEdit
	var id, public string
	var certificate bool
	cmd := &cobra.Command{
		Use: "grant WHO", Short: "Give an identity roles or a key; a new one is made", Args: cobra.ExactArgs(1),
		Example: "  dewlift access grant anna --role technician --key-id anna-2 --public BASE64 --key admin.key " +
			"--server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if (id == "") != (public == "") {
				return errors.New("--key-id and --public go together")
			}
			if id != "" {
				edit.AddKeys = []wire.PublicKey{{ID: id, Ed25519: public}}
			}
			if certificate {
				edit.Certificate = &certificate
			}
			if len(edit.GrantRoles)+len(edit.AddKeys) == 0 && !certificate {
				return errors.New("nothing to grant: name --role, --by-certificate, or --key-id and --public")
			}
			if _, err := editPermissions(cmd.Context(), identity, server, args[0], edit); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "granted to %s\n", args[0])
			return nil
		},
	}
	addServerFlag(cmd, &server)
	cmd.Flags().StringSliceVar(&edit.GrantRoles, "role", nil, "a role; may be repeated")
	cmd.Flags().StringVar(&id, "key-id", "", "the id of a new key")
	cmd.Flags().StringVar(&public, "public", "", "its public half, as `dewlift key show` prints it")
	cmd.Flags().BoolVar(&certificate, "by-certificate", false, "a certificate for its name proves who it is")
	cmd.Flags().BoolVar(&edit.Service, "service", false, "a new identity is a service")
	return cmd
}

func revokeCommand(identity *clientIdentity) *cobra.Command {
	var server string
	var edit wire.PermissionsEdit
	var certificate bool
	cmd := &cobra.Command{
		Use:     "revoke WHO",
		Short:   "Take roles or keys away; in force everywhere once this has ended well",
		Args:    cobra.ExactArgs(1),
		Example: "  dewlift access revoke potter --all --cancel-queued --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if certificate {
				edit.Certificate = new(bool)
			}
			if !edit.Delete && !certificate && len(edit.RevokeRoles)+len(edit.RevokeKeys) == 0 {
				return errors.New("nothing to revoke: name --role, --key-id, --by-certificate or --all")
			}
			out, err := editPermissions(cmd.Context(), identity, server, args[0], edit)
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "revoked from %s\n", args[0])
			for _, id := range out.Cancelled {
				printf(cmd.OutOrStdout(), "  cancelling %s\n", id)
			}
			return nil
		},
	}
	addServerFlag(cmd, &server)
	cmd.Flags().StringSliceVar(&edit.RevokeRoles, "role", nil, "a role; may be repeated")
	cmd.Flags().StringSliceVar(&edit.RevokeKeys, "key-id", nil, "a key; may be repeated")
	cmd.Flags().BoolVar(&certificate, "by-certificate", false, "a certificate proves no more who it is")
	cmd.Flags().BoolVar(&edit.Delete, "all", false, "the identity with all it has")
	cmd.Flags().
		BoolVar(&edit.CancelQueued, "cancel-queued", false, "cancel, in your name, "+
			"jobs that it has submitted and that have not begun")
	return cmd
}

func keyCommand(identity *clientIdentity) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Make keys and tokens"}
	var id, out string
	create := &cobra.Command{
		Use: "new HOLDER", Short: "Make a key; the private half stays in the file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if id == "" {
				id = fmt.Sprintf("%s-%d", args[0], time.Now().Unix())
			}
			if out == "" {
				out = id + ".key"
			}
			key, err := access.NewKey(args[0], id)
			if err != nil {
				return err
			}
			if err := saveKey(out, key); err != nil {
				return err
			}
			printPublicKey(cmd, key)
			return nil
		},
	}
	create.Flags().StringVar(&id, "id", "", "its id, unique in the site")
	create.Flags().StringVar(&out, "out", "", "the file; it must not exist")
	var lifetime time.Duration
	token := &cobra.Command{
		Use:   "token FILE",
		Short: "Print a token, to be sent as `Authorization: Bearer TOKEN`",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := loadKey(args[0])
			if err != nil {
				return err
			}
			signed, err := key.SignToken(time.Now(), lifetime)
			if err == nil {
				printf(cmd.OutOrStdout(), "%s\n", signed)
			}
			return err
		},
	}
	token.Flags().DurationVar(&lifetime, "for", time.Hour, "how long it is good")
	cmd.AddCommand(create, token, &cobra.Command{
		Use: "show FILE", Short: "Print the public half, as a file of rights has it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := loadKey(args[0])
			if err == nil {
				printPublicKey(cmd, key)
			}
			return err
		},
	}, rotateKeyCommand(identity), revokeKeyCommand(identity))
	return cmd
}

func revokeKeyCommand(identity *clientIdentity) *cobra.Command {
	var server string
	cmd := &cobra.Command{
		Use:     "revoke HOLDER ID",
		Short:   "Take a key away; it is good nowhere once this has ended well",
		Args:    cobra.ExactArgs(2),
		Example: "  dewlift key revoke anna anna-1 --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := editPermissions(cmd.Context(), identity, server, args[0], wire.PermissionsEdit{
				RevokeKeys: []string{args[1]},
			}); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s is no key of %s any more\n", args[1], args[0])
			return nil
		},
	}
	addServerFlag(cmd, &server)
	return cmd
}

// printPublicKey prints the public half of a key, as a file of permissions has it.
func printPublicKey(cmd *cobra.Command, key *access.PrivateKey) {
	printf(cmd.OutOrStdout(), "keys { id: %q ed25519: %q }\n", key.ID, key.PublicBase64())
}

// saveKey writes a private key that only its owner can read; an existing file is never replaced.
func saveKey(path string, key *access.PrivateKey) error {
	raw, err := json.Marshal(key)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	return writeSecret(path, append(raw, '\n'))
}

// writeSecret writes a new file that only its owner can read.
func writeSecret(path string, raw []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if _, err = file.Write(raw); err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	return nil
}

func rotateKeyCommand(identity *clientIdentity) *cobra.Command {
	var server, id, out string
	cmd := &cobra.Command{
		Use: "rotate", Short: "Replace your own key: the old one is good no more", Args: cobra.NoArgs,
		Example: "  dewlift key rotate --key anna.key --id anna-2 --out anna-2.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if identity.keyFile == "" || id == "" || out == "" {
				return errors.New("--key, --id and --out are needed")
			}
			old, err := loadKey(identity.keyFile)
			if err != nil {
				return err
			}
			key, err := access.NewKey(old.Holder, id)
			if err != nil {
				return err
			}
			if err := saveKey(out, key); err != nil { // before it is granted: an unsaved key would lock out its holder
				return err
			}
			if _, err := editPermissions(cmd.Context(), identity, server, old.Holder, wire.PermissionsEdit{
				AddKeys:    []wire.PublicKey{{ID: id, Ed25519: key.PublicBase64()}},
				RevokeKeys: []string{old.ID},
			}); err != nil {
				return fmt.Errorf("%w (%s holds the new key; the old one may still be good)", err, out)
			}
			printf(cmd.OutOrStdout(), "%s holds the key of %s from now on\n", out, old.Holder)
			return nil
		},
	}
	addServerFlag(cmd, &server)
	cmd.Flags().StringVar(&id, "id", "", "the new key's id")
	cmd.Flags().StringVar(&out, "out", "", "the new key's file")
	return cmd
}
