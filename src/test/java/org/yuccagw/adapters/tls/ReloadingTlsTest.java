package org.yuccagw.adapters.tls;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.settings.EntrySettings.TlsFiles;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

public class ReloadingTlsTest {
    private Path directory;
    private TestCertificate first;
    private TestCertificate second;
    private TestCertificate untrusted;
    private Path trustedFile;

    @BeforeClass
    public void makeCertificates() throws Exception {
        directory = Files.createTempDirectory("tls");
        first = TestCertificate.generate(directory, "first");
        second = TestCertificate.generate(directory, "second");
        untrusted = TestCertificate.generate(directory, "stranger");
        trustedFile = directory.resolve("everyone.pem");
        Files.writeString(trustedFile, first.certificatePem() + second.certificatePem());
    }

    @Test
    public void aChangedCertificateIsUsedWithoutARestart() throws Exception {
        Path certificateDirectory = Files.createTempDirectory(directory, "changed");
        ReloadingTls tls = ReloadingTls.start(first.writeTo(certificateDirectory, Optional.empty()));
        SSLContext client = ReloadingTls.clientContext(Optional.of(trustedFile.toString()));
        assertEquals(handshake(tls.context(), false, client), first.name());
        assertFalse(tls.reload());
        second.writeTo(certificateDirectory, Optional.empty());
        tls.reload();
        assertEquals(handshake(tls.context(), false, client), second.name());
        tls.stop();
    }

    // Guards against failing handshakes while an operator has replaced the certificate but not yet the key. Two files
    // can't
    // be replaced in one step, so a reload may find a certificate and a key that don't belong together.
    @Test
    public void aCertificateWithoutItsKeyLeavesThePreviousPairInUse() throws Exception {
        Path certificateDirectory = Files.createTempDirectory(directory, "half");
        TlsFiles files = first.writeTo(certificateDirectory, Optional.empty());
        ReloadingTls tls = ReloadingTls.start(files);
        Files.writeString(Path.of(files.certificate()), second.certificatePem());
        assertFalse(tls.reload());
        SSLContext client = ReloadingTls.clientContext(Optional.of(trustedFile.toString()));
        assertEquals(handshake(tls.context(), false, client), first.name());
        tls.stop();
    }

    @Test
    public void aPeerWithATrustedCertificateIsAccepted() throws Exception {
        ReloadingTls server = peer(first, "server");
        ReloadingTls client = peer(second, "client");
        assertTrue(server.isMutual());
        assertEquals(handshake(server.context(), true, client.context()), first.name());
        server.stop();
        client.stop();
    }

    @Test
    public void aPeerWithAnUntrustedCertificateIsRejected() throws Exception {
        ReloadingTls server = peer(first, "strict");
        ReloadingTls client = peer(untrusted, "stranger");
        expectThrows(IOException.class, () -> handshake(server.context(), true, client.context()));
        server.stop();
        client.stop();
    }

    @Test
    public void filesWithoutACertificateAreRejectedAtTheStart() throws Exception {
        Path empty = Files.createTempFile(directory, "empty", ".pem");
        TlsFiles files = new TlsFiles(empty.toString(), empty.toString(), Optional.empty());
        YuccagwException error = expectThrows(YuccagwException.class, () -> ReloadingTls.start(files));
        assertEquals(error.kind(), ErrorKind.SETTINGS_INVALID);
        assertTrue(error.getMessage().contains("no certificate in the file"), error.getMessage());
    }

    private ReloadingTls peer(TestCertificate certificate, String name) throws Exception {
        Path certificateDirectory = Files.createTempDirectory(directory, name);
        return ReloadingTls.start(certificate.writeTo(certificateDirectory, Optional.of(trustedFile.toString())));
    }

    /** Exchanges one byte in each direction and returns the subject name of the server's certificate. */
    private static String handshake(SSLContext server, boolean mutual, SSLContext client) throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (SSLServerSocket serverSocket =
                (SSLServerSocket) server.getServerSocketFactory().createServerSocket(0, 1, loopback)) {
            serverSocket.setNeedClientAuth(mutual);
            CompletableFuture<Void> echoed = CompletableFuture.runAsync(() -> echoOneByte(serverSocket));
            try (SSLSocket socket =
                    (SSLSocket) client.getSocketFactory().createSocket(loopback, serverSocket.getLocalPort())) {
                socket.setSoTimeout(30_000);
                socket.getOutputStream().write(7);
                if (socket.getInputStream().read() != 7) {
                    throw new IOException("the server closed");
                }
                echoed.get(30, TimeUnit.SECONDS);
                X509Certificate serverCertificate =
                        (X509Certificate) socket.getSession().getPeerCertificates()[0];
                return serverCertificate.getSubjectX500Principal().getName();
            }
        }
    }

    private static void echoOneByte(SSLServerSocket serverSocket) {
        try (SSLSocket accepted = (SSLSocket) serverSocket.accept()) {
            accepted.getOutputStream().write(accepted.getInputStream().read());
        } catch (IOException expected) {
            // The client was rejected, which the test observes on the client's side.
        }
    }
}
