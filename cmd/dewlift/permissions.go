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
	// tokenLifetime is how long the token that authenticates a command's request is valid.
	tokenLifetime  = 5 * time.Minute
	requestTimeout = 5 * time.Second
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 16 << 20
)

// clientIdentity holds the paths of the files that authenticate the caller, and of the file of certificate authorities
// that may have issued the controllers' certificates.
type clientIdentity struct{ keyFile, caFile, certificateFile, certificateKeyFile string }

func (identity *clientIdentity) addFlags(f *pflag.FlagSet) {
	f.StringVar(&identity.keyFile, "key", os.Getenv("DEWLIFT_KEY"), "private key file that authenticates the caller")
	f.StringVar(&identity.caFile, "ca",
		os.Getenv("DEWLIFT_CA"), "certificate authorities of the controllers (PEM); enables TLS")
	f.StringVar(&identity.certificateFile, "certificate",
		os.Getenv("DEWLIFT_CERTIFICATE"), "client certificate that authenticates the caller (PEM); requires --ca")
	f.StringVar(&identity.certificateKeyFile, "certificate-key",
		os.Getenv("DEWLIFT_CERTIFICATE_KEY"), "private key of the client certificate (PEM)")
}

// request makes a request to a controller or, if servers lists several separated by commas, to the first that is
// available. Requests must be idempotent, because a controller that does not answer may have executed one.
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
			return httpjson.Response{}, fmt.Errorf("read certificate authorities: %w", err)
		}
		cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
		if !cfg.RootCAs.AppendCertsFromPEM(raw) {
			return httpjson.Response{}, fmt.Errorf("no certificate in %s", identity.caFile)
		}
		if identity.certificateFile != "" {
			pair, err := tls.LoadX509KeyPair(identity.certificateFile, identity.certificateKeyFile)
			if err != nil {
				return httpjson.Response{}, fmt.Errorf("load client certificate: %w", err)
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

// loadPermissions reads a policy and requires that it has an administrator.
func loadPermissions(path string) (*access.Policy, error) {
	policy, err := parsePermissions(path)
	if err == nil && !policy.HasAdministrator() {
		return nil, fmt.Errorf(
			"access %s: no identity with a key may administer, so permissions could never be changed",
			path,
		)
	}
	return policy, err
}

func parsePermissions(path string) (*access.Policy, error) {
	return loadFile(path, "access", access.Parse)
}

// loadFile reads and parses a file. what names the kind of file in errors.
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
	cmd := &cobra.Command{Use: "access", Short: "Check, explain, show and change permissions"}
	cmd.AddCommand(&cobra.Command{
		Use: "check FILE", Short: "Check a permissions file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			policy, err := loadPermissions(args[0])
			if err != nil {
				return err
			}
			roles, identities, keys := policy.Counts()
			printf(cmd.OutOrStdout(), "permissions are valid: %d roles, %d identities, %d keys\n",
				roles, identities, keys)
			return nil
		},
	}, explainCommand(), showPermissionsCommand(identity), grantCommand(identity), revokeCommand(identity))
	return cmd
}

func explainCommand() *cobra.Command {
	var identity, verb, team, class, priority string
	var asJSON bool
	cmd := &cobra.Command{
		Use: "explain FILE", Short: "Explain which grant allows or denies an action", Args: cobra.ExactArgs(1),
		Example: "  dewlift access explain access.textproto --who packer --verb cancel --team roastmasters " +
			"--class reroast-rush",
		RunE: func(cmd *cobra.Command, args []string) error {
			policy, err := parsePermissions(args[0])
			if err != nil {
				return err
			}
			parsedVerb, ok := access.ParseVerb(verb)
			if !ok {
				return fmt.Errorf("--verb: there is no verb %q", verb)
			}
			priorityIndex, ok := wire.Priority(priority)
			if !ok {
				return fmt.Errorf("--priority: there is no priority %q", priority)
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
	f.StringVar(&verb, "verb", "",
		"the verb: submit, read, cancel, prioritise, administer, audit, report, book or equip")
	f.StringVar(&team, "team", "", "the job's team")
	f.StringVar(&class, "class", "", "the job's class")
	f.StringVar(&priority, "priority", wire.PriorityName(wire.PriorityStandard), "the priority of a submission")
	f.BoolVar(&asJSON, "json", false, "print JSON")
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
		return nil, errors.New(
			"--key FILE or --certificate FILE is required: permissions are changed on behalf of an identity",
		)
	}
	resp, err := identity.request(ctx, http.MethodPost, server, wire.PathPermissions+"/"+target, edit)
	if err != nil {
		return nil, err
	}
	result, resp := httpjson.Decode[wire.PermissionsEditResult](resp)
	return &result, checkResponse(server, resp)
}

// checkResponse returns an error if there is no response or the request was refused.
func checkResponse(server string, resp httpjson.Response) error {
	switch {
	case resp.Err != nil:
		return fmt.Errorf("controller %s: %w", server, resp.Err)
	case resp.Status != http.StatusOK:
		return fmt.Errorf("controller %s returned status %d: %s", server, resp.Status, refusalReason(resp))
	}
	return nil
}

// refusalReason returns the reason in a refusal, or the text of its status code if it has none.
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
		Use: "show", Short: "Print the current permissions in the form of a permissions file", Args: cobra.NoArgs,
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
		Use:   "grant WHO",
		Short: "Grant roles or a key to an identity, which is created if it does not exist",
		Args:  cobra.ExactArgs(1),
		Example: "  dewlift access grant anna --role technician --key-id anna-2 --public BASE64 --key admin.key " +
			"--server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if (id == "") != (public == "") {
				return errors.New("--key-id and --public must be used together")
			}
			if id != "" {
				edit.AddKeys = []wire.PublicKey{{ID: id, Ed25519: public}}
			}
			if certificate {
				edit.Certificate = &certificate
			}
			if len(edit.GrantRoles)+len(edit.AddKeys) == 0 && !certificate {
				return errors.New("nothing to grant: use --role, --by-certificate, or --key-id and --public")
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
	cmd.Flags().StringVar(&id, "key-id", "", "ID of a new key")
	cmd.Flags().StringVar(&public, "public", "", "public key of the new key pair, as printed by dewlift key show")
	cmd.Flags().
		BoolVar(&certificate, "by-certificate", false, "accept a client certificate with the name of the identity")
	cmd.Flags().BoolVar(&edit.Service, "service", false, "create a new identity as a service")
	return cmd
}

func revokeCommand(identity *clientIdentity) *cobra.Command {
	var server string
	var edit wire.PermissionsEdit
	var certificate bool
	cmd := &cobra.Command{
		Use:     "revoke WHO",
		Short:   "Revoke roles or keys of an identity; effective on all controllers when the command succeeds",
		Args:    cobra.ExactArgs(1),
		Example: "  dewlift access revoke potter --all --cancel-queued --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if certificate {
				edit.Certificate = new(bool)
			}
			if !edit.Delete && !certificate && len(edit.RevokeRoles)+len(edit.RevokeKeys) == 0 {
				return errors.New("nothing to revoke: use --role, --key-id, --by-certificate or --all")
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
	cmd.Flags().StringSliceVar(&edit.RevokeKeys, "key-id", nil, "ID of a key; may be repeated")
	cmd.Flags().BoolVar(&certificate, "by-certificate", false,
		"no longer accept a client certificate with the name of the identity")
	cmd.Flags().BoolVar(&edit.Delete, "all", false, "delete the identity with all its roles and keys")
	cmd.Flags().
		BoolVar(&edit.CancelQueued, "cancel-queued", false, "also cancel, in your name, "+
			"the identity's jobs that have not started")
	return cmd
}

func keyCommand(identity *clientIdentity) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Manage keys and print tokens"}
	var id, out string
	create := &cobra.Command{
		Use:   "new HOLDER",
		Short: "Generate a key pair, write it to a file and print the public key",
		Args:  cobra.ExactArgs(1),
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
	create.Flags().StringVar(&id, "id", "", "ID of the key, unique in the site")
	create.Flags().StringVar(&out, "out", "", "file to write the key pair to; must not exist")
	var lifetime time.Duration
	token := &cobra.Command{
		Use:   "token FILE",
		Short: "Print a token for the request header `Authorization: Bearer TOKEN`",
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
	token.Flags().DurationVar(&lifetime, "for", time.Hour, "how long the token is valid")
	cmd.AddCommand(create, token, &cobra.Command{
		Use: "show FILE", Short: "Print the public key in the form of the permissions file", Args: cobra.ExactArgs(1),
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
		Short:   "Revoke a key of an identity; effective on all controllers when the command succeeds",
		Args:    cobra.ExactArgs(2),
		Example: "  dewlift key revoke anna anna-1 --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := editPermissions(cmd.Context(), identity, server, args[0], wire.PermissionsEdit{
				RevokeKeys: []string{args[1]},
			}); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "key %s of %s is revoked\n", args[1], args[0])
			return nil
		},
	}
	addServerFlag(cmd, &server)
	return cmd
}

// printPublicKey prints a public key in the form of the permissions file.
func printPublicKey(cmd *cobra.Command, key *access.PrivateKey) {
	printf(cmd.OutOrStdout(), "keys { id: %q ed25519: %q }\n", key.ID, key.PublicBase64())
}

// saveKey writes a private key to a new file that only its owner can read. It never overwrites an existing file.
func saveKey(path string, key *access.PrivateKey) error {
	raw, err := json.Marshal(key)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	return writeSecret(path, append(raw, '\n'))
}

// writeSecret creates a file that only its owner can read. It fails if the file exists.
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
		Use: "rotate", Short: "Replace your own key and revoke the old one", Args: cobra.NoArgs,
		Example: "  dewlift key rotate --key anna.key --id anna-2 --out anna-2.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if identity.keyFile == "" || id == "" || out == "" {
				return errors.New("--key, --id and --out are required")
			}
			old, err := loadKey(identity.keyFile)
			if err != nil {
				return err
			}
			key, err := access.NewKey(old.Holder, id)
			if err != nil {
				return err
			}
			// The key is saved before it is granted, because the loss of a granted key would lock out its holder.
			if err := saveKey(out, key); err != nil {
				return err
			}
			if _, err := editPermissions(cmd.Context(), identity, server, old.Holder, wire.PermissionsEdit{
				AddKeys:    []wire.PublicKey{{ID: id, Ed25519: key.PublicBase64()}},
				RevokeKeys: []string{old.ID},
			}); err != nil {
				return fmt.Errorf("%w (%s contains the new key; the old key may still be valid)", err, out)
			}
			printf(cmd.OutOrStdout(), "%s contains the new key of %s\n", out, old.Holder)
			return nil
		},
	}
	addServerFlag(cmd, &server)
	cmd.Flags().StringVar(&id, "id", "", "ID of the new key")
	cmd.Flags().StringVar(&out, "out", "", "file to write the new key pair to; must not exist")
	return cmd
}
