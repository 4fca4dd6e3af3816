package org.yuccagw.adapters.tls;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.Certificate;
import java.util.Arrays;
import java.util.Optional;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import org.yuccagw.adapters.settings.EntrySettings.TlsFiles;

/**
 * The contents of the PEM files of one address at one point in time.
 *
 * <p>The files can't be replaced atomically, so a read may return the new certificate with the old key. All handshakes
 * would then fail. Therefore {@link #createContext} verifies that the private key belongs to the certificate.
 */
final class TlsMaterial {
    /** Data for a test signature; in comparisons, also the stand-in for an absent file. */
    private static final byte[] PROBE = {1, 2, 3, 4};

    private static final char[] NO_PASSWORD = new char[0];

    private final byte[] certificate;
    private final byte[] privateKey;
    private final Optional<byte[]> trusted;

    private TlsMaterial(byte[] certificate, byte[] privateKey, Optional<byte[]> trusted) {
        this.certificate = certificate;
        this.privateKey = privateKey;
        this.trusted = trusted;
    }

    static TlsMaterial read(TlsFiles files) throws IOException {
        Optional<byte[]> trusted = files.trusted().isPresent()
                ? Optional.of(PemFiles.read(files.trusted().get()))
                : Optional.empty();
        return new TlsMaterial(PemFiles.read(files.certificate()), PemFiles.read(files.privateKey()), trusted);
    }

    boolean hasSameContents(TlsMaterial other) {
        return Arrays.equals(certificate, other.certificate)
                && Arrays.equals(privateKey, other.privateKey)
                && Arrays.equals(trusted.orElse(PROBE), other.trusted.orElse(PROBE));
    }

    SSLContext createContext() throws GeneralSecurityException, IOException {
        Certificate[] chain = PemFiles.certificates(certificate);
        PrivateKey key = PemFiles.privateKey(privateKey);
        requireMatchingKey(chain[0].getPublicKey(), key);
        KeyStore keyStore = emptyStore();
        keyStore.setKeyEntry("own", key, NO_PASSWORD, chain);
        KeyManagerFactory keyManagerFactory = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keyManagerFactory.init(keyStore, NO_PASSWORD);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keyManagerFactory.getKeyManagers(), trustManagers(trusted), null);
        return context;
    }

    /**
     * Returns managers that trust exactly the certificates of a PEM file, or without one those of the Java
     * installation.
     */
    static TrustManager[] trustManagers(Optional<byte[]> trustedPem) throws GeneralSecurityException, IOException {
        TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        if (trustedPem.isEmpty()) {
            factory.init((KeyStore) null);
            return factory.getTrustManagers();
        }
        KeyStore store = emptyStore();
        Certificate[] certificates = PemFiles.certificates(trustedPem.get());
        for (int i = 0; i < certificates.length; i++) {
            store.setCertificateEntry("trusted-" + i, certificates[i]);
        }
        factory.init(store);
        return factory.getTrustManagers();
    }

    private static KeyStore emptyStore() throws GeneralSecurityException, IOException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, NO_PASSWORD);
        return store;
    }

    /** Verifies with a test signature that the private key belongs to the public key. */
    private static void requireMatchingKey(PublicKey publicKey, PrivateKey key) throws GeneralSecurityException {
        String algorithm = switch (key.getAlgorithm()) {
            case "RSA" -> "SHA256withRSA";
            case "EC" -> "SHA256withECDSA";
            default -> "EdDSA";
        };
        Signature signer = Signature.getInstance(algorithm);
        signer.initSign(key);
        signer.update(PROBE);
        byte[] signature = signer.sign();
        Signature verifier = Signature.getInstance(algorithm);
        verifier.initVerify(publicKey);
        verifier.update(PROBE);
        if (!verifier.verify(signature)) {
            throw new GeneralSecurityException("the private key doesn't belong to the certificate");
        }
    }
}
