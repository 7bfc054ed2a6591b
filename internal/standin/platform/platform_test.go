package platform

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/apicall"
	api "github.com/mangoweir/mangoweir/internal/platform"
)

// startServer starts a server and returns it with a client of it.
func startServer(t *testing.T, o api.Options) (*Server, *api.Client) {
	s := New()
	url, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, newClient(t, url, o)
}

func newClient(t *testing.T, url string, o api.Options) *api.Client {
	c, err := api.NewClient(url, o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var ctx = context.Background()

// Guards against lost updates, and against different responses from the platform and from the proxy of an
// entry VM.
func TestObjects(t *testing.T) {
	server, direct := startServer(t, api.Options{Timeout: time.Second})
	proxy := httptest.NewServer(api.Proxy(direct))
	t.Cleanup(proxy.Close)
	endpoints := []struct {
		name   string
		client *api.Client
	}{{"platform", direct}, {"entry VM", newClient(t, proxy.URL, api.Options{Timeout: time.Second})}}
	Convey("Objects are read and written under conditions", t, func() {
		for _, endpoint := range endpoints {
			key := "config/" + endpoint.name[:5]
			object, err := endpoint.client.Get(ctx, key)
			So(err, ShouldBeNil)
			So(object.Version, ShouldEqual, 0)
			version, err := endpoint.client.Put(ctx, key, []byte("one"), 0)
			So(err, ShouldBeNil)
			So(version, ShouldEqual, 1)
			_, err = endpoint.client.Put(ctx, key, []byte("two"), 0)
			var conflict *api.ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Version, ShouldEqual, 1)
			object, err = endpoint.client.Get(ctx, key)
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, "one")
			var tooLarge *api.TooLargeError
			_, err = endpoint.client.Put(ctx, key, make([]byte, api.MaxValueSize+1), 1)
			So(errors.As(err, &tooLarge), ShouldBeTrue)
			full := bytes.Repeat([]byte{0xff}, api.MaxValueSize)
			_, err = endpoint.client.Put(ctx, key, full, 1)
			So(err, ShouldBeNil)
			object, err = endpoint.client.Get(ctx, key)
			So(err, ShouldBeNil)
			So(bytes.Equal(object.Value, full), ShouldBeTrue)
			_, err = endpoint.client.Get(ctx, "a/../b")
			So(err, ShouldNotBeNil)
		}
		_, err := endpoints[1].client.Replace(ctx, "config/x", nil)
		So(err, ShouldNotBeNil)
		version, err := direct.Replace(ctx, "config/entry", []byte("r"))
		So(err, ShouldBeNil)
		So(version, ShouldEqual, 3)
		heads, err := direct.Heads(ctx, "config/none", "config/entry")
		So(err, ShouldBeNil)
		So(heads, ShouldResemble, []api.Head{{Key: "config/none"}, {Key: "config/entry", Version: 3}})
	})
	Convey("A write does not follow a redirect", t, func() {
		url := "http://" + server.listener.Addr().String() + api.ObjectsPath + "redirected"
		redirecting := httptest.NewServer(http.RedirectHandler(url, http.StatusTemporaryRedirect))
		defer redirecting.Close()
		_, err := newClient(t, redirecting.URL, api.Options{}).Put(ctx, "k", []byte("v"), 0)
		So(err, ShouldNotBeNil)
		So(server.Object("redirected").Version, ShouldEqual, 0)
	})
	Convey("A value above the limit is refused by the server, too", t, func() {
		r := httptest.NewRequest("PUT", api.ObjectsPath+"a", bytes.NewReader(make([]byte, api.MaxValueSize+1)))
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		So(w.Code, ShouldEqual, http.StatusRequestEntityTooLarge)
	})
}

// Guards against watches that miss a change or do not end when an outage begins.
func TestWatch(t *testing.T) {
	Convey("A watch", t, func() {
		server, client := startServer(t, api.Options{Timeout: time.Second})
		Convey("returns a change from before the watch", func() {
			server.Set("k", []byte("v"))
			o, ok, err := client.Watch(ctx, "k", 0, time.Minute)
			So(err, ShouldBeNil)
			So(ok, ShouldBeTrue)
			So(o.Version, ShouldEqual, 1)
		})
		Convey("returns a change during the watch", func() {
			time.AfterFunc(30*time.Millisecond, func() { server.Set("other", nil); server.Set("k", []byte("v")) })
			o, ok, err := client.Watch(ctx, "k", 0, time.Minute)
			So(err, ShouldBeNil)
			So(ok, ShouldBeTrue)
			So(string(o.Value), ShouldEqual, "v")
		})
		Convey("ends without a change", func() {
			_, ok, err := client.Watch(ctx, "k", 0, 20*time.Millisecond)
			So(err, ShouldBeNil)
			So(ok, ShouldBeFalse)
		})
		Convey("fails when an outage begins", func() {
			time.AfterFunc(30*time.Millisecond, func() { server.SetOutage(Disconnecting) })
			_, _, err := client.Watch(ctx, "k", 0, time.Minute)
			var unavailable *api.UnavailableError
			So(errors.As(err, &unavailable), ShouldBeTrue)
			So(server.Calls().Watch, ShouldEqual, 1)
		})
	})
}

// Guards against writes that are sent again although they may have taken effect, and against a reported
// outcome when the outcome is unknown.
func TestFaults(t *testing.T) {
	Convey("With a fault", t, func() {
		server, client := startServer(t, api.Options{Timeout: 150 * time.Millisecond})
		var (
			unknown     *api.UnknownOutcomeError
			unavailable *api.UnavailableError
			limited     *api.RateLimitedError
		)
		Convey("after a lost response the outcome is unknown and the write is not sent again", func() {
			server.LoseResponses(1)
			_, err := client.Put(ctx, "k", []byte("v"), 0)
			So(errors.As(err, &unknown), ShouldBeTrue)
			So(server.Object("k").Version, ShouldEqual, 1)
			So(server.Calls().Put, ShouldEqual, 1)
		})
		Convey("after a lost response the outcome remains unknown when the retries are refused", func() {
			server.LoseResponses(1)
			server.OnPut(func(string) { server.SetOutage(Refusing) })
			_, err := client.Replace(ctx, "k", []byte("v"))
			So(errors.As(err, &unknown), ShouldBeTrue)
			So(server.Calls().Put, ShouldEqual, apicall.DefaultAttempts)
			So(server.Object("k").Version, ShouldEqual, 1)
		})
		Convey("a call that the rate limit would delay beyond its deadline is refused at once", func() {
			slow := newClient(t, "http://"+server.listener.Addr().String(), api.Options{Rate: 0.1, Burst: 1})
			short, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_, err := slow.Get(short, "k")
			So(err, ShouldBeNil)
			_, err = slow.Get(short, "k")
			So(errors.As(err, &limited), ShouldBeTrue)
		})
		Convey("a read is retried a bounded number of times", func() {
			server.SetOutage(Disconnecting)
			_, err := client.Get(ctx, "k")
			So(errors.As(err, &unavailable), ShouldBeTrue)
			So(server.Calls().Failed, ShouldBeBetweenOrEqual, apicall.DefaultAttempts, 2*apicall.DefaultAttempts)
		})
		Convey("a refused write is retried and has no effect", func() {
			server.SetOutage(Refusing)
			_, err := client.Put(ctx, "k", []byte("v"), 0)
			So(errors.As(err, &unavailable), ShouldBeTrue)
			So(server.Calls().Put, ShouldEqual, apicall.DefaultAttempts)
			server.SetOutage(Up)
			So(server.Object("k").Version, ShouldEqual, 0)
		})
		Convey("a call to a silent or slow platform ends at the timeout", func() {
			for _, set := range []func(){func() { server.SetOutage(Silent) }, func() { server.SetOutage(Up); server.SetDelay(time.Minute) }} {
				set()
				began := time.Now()
				_, err := client.Put(ctx, "k", []byte("v"), 0)
				So(errors.As(err, &unknown), ShouldBeTrue)
				So(time.Since(began), ShouldBeLessThan, 2*time.Second)
			}
			So(server.Object("k").Version, ShouldEqual, 0)
		})
		Convey("a write to a platform that does not listen fails without effect, and not with an unknown outcome", func() {
			So(server.Close(), ShouldBeNil)
			_, err := client.Put(ctx, "k", []byte("v"), 0)
			So(errors.As(err, &unavailable), ShouldBeTrue)
		})
		Convey("the client retries after the retry-after time of the rate limit", func() {
			server.SetRate(20, 1)
			for range 2 {
				_, err := client.Get(ctx, "k")
				So(err, ShouldBeNil)
			}
			So(server.Calls().RateLimited, ShouldBeGreaterThan, 0)
			server.SetRate(0.001, 1)
			_, err := client.Get(ctx, "k")
			So(err, ShouldBeNil)
			_, err = client.Put(ctx, "k", nil, 0)
			So(errors.As(err, &limited), ShouldBeTrue)
			So(limited.RetryAfter, ShouldEqual, retryAfter)
		})
		Convey("the client limits its own rate", func() {
			slow := newClient(t, "http://"+server.listener.Addr().String(), api.Options{Rate: 20, Burst: 1})
			began := time.Now()
			for range 5 {
				_, err := slow.Get(ctx, "k")
				So(err, ShouldBeNil)
			}
			So(time.Since(began), ShouldBeGreaterThan, 190*time.Millisecond)
		})
	})
}

// Guards against a list of VMs that is published before its lag has passed.
func TestVMs(t *testing.T) {
	Convey("The list of VMs changes after the lag", t, func() {
		server, client := startServer(t, api.Options{})
		vm := core.ListedVM{Name: "a", Zone: "z", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Leaving: true}
		server.SetVMs([]core.ListedVM{vm}, 0)
		server.SetVMs(nil, time.Hour)
		vms, err := client.VMs(ctx)
		So(err, ShouldBeNil)
		So(vms, ShouldResemble, []core.ListedVM{vm})
		_, err = client.Status(ctx)
		var bad *api.BadRequestError
		So(errors.As(err, &bad), ShouldBeTrue)
	})
	Convey("The stand-in serves on loopback only", t, func() {
		_, err := New().Start("0.0.0.0:0")
		So(err, ShouldNotBeNil)
	})
}
